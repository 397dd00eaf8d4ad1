/** Starts the project's own binaries as processes for end-to-end tests, and ends them by id. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { STANDIN_CREDENTIALS } from '../standin/platform.js';

/** What a binary prints once it listens. */
export interface ListenAddresses {
  readonly url?: string;
  readonly callers?: string;
  readonly operators?: string;
  readonly peers?: string;
}

/** A process of the project's. */
export interface TestProcess {
  readonly addresses: ListenAddresses;
  readonly child: ChildProcess;
  /** Sends a signal; a dead process is no error. */
  sendSignal(signal: NodeJS.Signals): void;
  /** Waits for the end; the exit code, or undefined after a signal. */
  waitForExit(): Promise<number | undefined>;
}

/** Settings all routers of a test share. */
export interface RouterProcessOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly platformUrl: string;
  readonly seeds?: readonly string[];
  /** HOST:PORT to listen on for peers. */
  readonly peerListenAddress?: string;
  readonly flags?: readonly string[];
}

export const TEST_SECRET = 'secret-of-the-tests';

const runningProcesses = new Set<ChildProcess>();

/** Starts a binary and waits until it says that it listens. */
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
    child.once('exit', (code) => reject(new Error(`${binary} ended early with ${code}`)));
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

/** Starts a router. */
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

/** Runs the operators' tool to its end. */
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

/** Flags of the operators' tool for a stand-in platform. */
export function listPlatformFlags(platformUrl: string): string[] {
  return [
    ...['--platform-table', platformUrl, '--platform-objects', platformUrl],
    ...['--platform-access-key-id', STANDIN_CREDENTIALS.accessKeyId],
    ...['--platform-secret-access-key', STANDIN_CREDENTIALS.secretAccessKey],
  ];
}

/** Ends everything that still runs. */
export function stopProcesses(): void {
  for (const child of runningProcesses) child.kill('SIGKILL');
}
