/** Starts and stops the project's binaries as child processes of end-to-end tests. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { STANDIN_CREDENTIALS } from '../standin/platform.js';

/** The JSON line that a binary prints to stdout once it listens. */
export interface ListenAddresses {
  readonly url?: string;
  readonly callers?: string;
  readonly operators?: string;
  readonly peers?: string;
}

export interface TestProcess {
  readonly addresses: ListenAddresses;
  readonly child: ChildProcess;
  /** Does nothing if the process has already exited. */
  sendSignal(signal: NodeJS.Signals): void;
  /** Resolves to the exit code, or to undefined if a signal ended the process. */
  waitForExit(): Promise<number | undefined>;
}

export interface RouterProcessOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly platformUrl: string;
  readonly seeds?: readonly string[];
  /** HOST:PORT */
  readonly peerListenAddress?: string;
  readonly flags?: readonly string[];
}

export const TEST_SECRET = 'secret-of-the-tests';

const runningProcesses = new Set<ChildProcess>();

/** Starts `dist/cli/<binary>-main.js` and waits until it listens. */
export async function startProcess(binary: string, args: readonly string[]): Promise<TestProcess> {
  const path = fileURLToPath(new URL(`../cli/${binary}-main.js`, import.meta.url));
  const child = spawn(process.execPath, [path, ...args], { stdio: ['ignore', 'pipe', 'inherit'] });
  runningProcesses.add(child);
  const exited = new Promise<number | undefined>((resolve) => {
    child.once('exit', (code) => {
      runningProcesses.delete(child);
      resolve(code ?? undefined);
    });
  });
  const addresses = await new Promise<ListenAddresses>((resolve, reject) => {
    createInterface({ input: child.stdout }).once('line', (line) => resolve(JSON.parse(line)));
    child.once('exit', (code) =>
      reject(new Error(`${binary} exited with code ${code} before it listened`)),
    );
  });
  return {
    addresses,
    child,
    sendSignal: (signal) => {
      child.kill(signal);
    },
    waitForExit: () => exited,
  };
}

export function startRouterProcess(options: RouterProcessOptions): Promise<TestProcess> {
  const { name, dataCentre, platformUrl, seeds = [], flags = [] } = options;
  return startProcess('router', [
    ...['--name', name, '--data-centre', dataCentre],
    ...['--platform-table', platformUrl, '--platform-objects', platformUrl],
    ...['--platform-instances', platformUrl],
    ...['--platform-access-key-id', STANDIN_CREDENTIALS.accessKeyId],
    ...['--platform-secret-access-key', STANDIN_CREDENTIALS.secretAccessKey],
    ...['--platform-token', STANDIN_CREDENTIALS.token],
    ...['--peer-secret', TEST_SECRET, '--operator-secret', TEST_SECRET, '--log-level', 'error'],
    ...(options.peerListenAddress === undefined ? [] : ['--peers', options.peerListenAddress]),
    ...seeds.flatMap((seed) => ['--seeds', seed]),
    ...flags,
  ]);
}

/** Runs `hyssoptally-ctl` and waits for it to exit. */
export async function runCtl(
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): Promise<{ code: number; out: string; err: string }> {
  const path = fileURLToPath(new URL('../cli/ctl-main.js', import.meta.url));
  const child = spawn(process.execPath, [path, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...env },
  });
  runningProcesses.add(child);
  let out = '';
  let err = '';
  child.stdout.on('data', (chunk: Buffer) => {
    out += chunk.toString();
  });
  child.stderr.on('data', (chunk: Buffer) => {
    err += chunk.toString();
  });
  const code = await new Promise<number>((resolve) => {
    child.once('close', (status) => resolve(status ?? -1));
  });
  runningProcesses.delete(child);
  return { code, out, err };
}

/** The `hyssoptally-ctl` flags that select a stand-in platform. */
export function listPlatformFlags(platformUrl: string): string[] {
  return [
    ...['--platform-table', platformUrl, '--platform-objects', platformUrl],
    ...['--platform-access-key-id', STANDIN_CREDENTIALS.accessKeyId],
    ...['--platform-secret-access-key', STANDIN_CREDENTIALS.secretAccessKey],
  ];
}

/** Kills every child process that is still running. */
export function stopProcesses(): void {
  for (const child of runningProcesses) child.kill('SIGKILL');
}
