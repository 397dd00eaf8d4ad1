/**
 * The life of a server's process: its start, signals, uncaught errors and end. Every end is logged with
 * its reason and exit code, and its lines are written out before the process exits.
 */
import type { Writable } from 'node:stream';
import { assertNever } from '../utils/assert-never.js';
import { PortUnavailableError } from './bind-port.js';
import { createSystemClock } from './clock.js';
import type { ProcessSignal, ProcessSignals } from './process-signals.js';
import { createTimerService } from './timer-service.js';

/** A reader of the log that takes no more is not waited for longer. */
const FLUSH_MAX_MS = 1000;

export const END_REASON = {
  /** The process was told to stop and has drained. */
  Drained: 'drained',
  StoppedAtStart: 'stopped_at_start',
  PortUnavailable: 'port_unavailable',
  StartFailed: 'start_failed',
  /** An error of unknown effect; the process has drained. */
  Failed: 'failed',
  /** The same, but the drain has not ended in time. */
  GraceOver: 'grace_over',
} as const;
export type EndReason = (typeof END_REASON)[keyof typeof END_REASON];

export type ProcessLine =
  | {
      readonly event: 'process_ended';
      readonly reason: EndReason;
      readonly exitCode: number;
      readonly detail: string;
    }
  | { readonly event: 'settings_reloaded'; readonly outcome: string }
  | { readonly event: 'link_failed'; readonly reason: string };

/** A server that has started. */
export interface RunningServer {
  /** Time that a drain may take. */
  readonly graceMs: number;
  /** `onDrained` is called once it has drained. */
  drain(): void;
  /** Logs that changed settings need a restart. */
  reload(): void;
  /** Logs an uncaught error; returns whether the process may continue. */
  handleUncaught(error: unknown): boolean;
}

export interface StartContext {
  /** Aborted if the process is told to stop before the server has started. */
  readonly stop: AbortSignal;
  readonly onDrained: () => void;
  readonly onDrainFailed: (error: unknown) => void;
}

export interface ProcessLifeOptions {
  readonly signals: ProcessSignals;
  readonly start: (context: StartContext) => Promise<RunningServer>;
  readonly writeLine: (line: ProcessLine) => void;
  /** Whether an uncaught error concerns one connection only. */
  readonly isLinkFailure: (error: unknown) => boolean;
  readonly exit: (code: number) => void;
  /** @default 1 for every error */
  readonly resolveExitCode?: (error: unknown) => number;
}

const STOPPED_AT_START = 'told to stop before the start had ended';

export const RELOAD_OUTCOME = 'settings are read at startup only; restart to apply changes';

function waitWritten(stream: Writable): Promise<void> {
  return new Promise((resolve) => {
    // Called after everything that was written before, also if writing fails.
    stream.write('', () => resolve());
  });
}

/** Guards against last lines that are lost, since a full pipe is written to later. */
async function waitFlushed(): Promise<void> {
  const timers = createTimerService(createSystemClock());
  const timeout = new Promise<void>((resolve) => {
    timers.subscribeOnce(FLUSH_MAX_MS, resolve);
  });
  await Promise.race([
    timeout,
    Promise.all([waitWritten(process.stdout), waitWritten(process.stderr)]),
  ]);
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** Starts the server and runs it until the process ends. */
export function runProcess(options: ProcessLifeOptions): void {
  const { signals, writeLine, resolveExitCode = () => 1 } = options;
  const stop = new AbortController();
  let server: RunningServer | undefined;
  let failure: string | undefined;
  let isEnding = false;

  function closeProcess(reason: EndReason, exitCode: number, detail: string): void {
    if (isEnding) return;
    isEnding = true;
    writeLine({ event: 'process_ended', reason, exitCode, detail });
    const exit = (): void => options.exit(exitCode);
    waitFlushed().then(exit, exit);
  }

  function closeStart(error: unknown): void {
    if (stop.signal.aborted && error === stop.signal.reason) {
      closeProcess(END_REASON.StoppedAtStart, 0, STOPPED_AT_START);
      return;
    }
    const isPort = error instanceof PortUnavailableError;
    const reason = isPort ? END_REASON.PortUnavailable : END_REASON.StartFailed;
    closeProcess(reason, resolveExitCode(error), describeError(error));
  }

  function closeDrained(): void {
    if (failure === undefined) closeProcess(END_REASON.Drained, 0, 'told to stop');
    else closeProcess(END_REASON.Failed, 1, failure);
  }

  /** Lets the requests of other callers be answered before the process ends. */
  function startFailureDrain(running: RunningServer, error: unknown): void {
    if (failure !== undefined) return;
    const detail = describeError(error);
    failure = detail;
    createTimerService(createSystemClock()).subscribeOnce(running.graceMs, () =>
      closeProcess(END_REASON.GraceOver, 1, detail),
    );
    running.drain();
  }

  function handleUncaught(error: unknown): void {
    if (server !== undefined) {
      if (!server.handleUncaught(error)) startFailureDrain(server, error);
      return;
    }
    if (options.isLinkFailure(error))
      writeLine({ event: 'link_failed', reason: describeError(error) });
    else closeStart(error);
  }

  function handleSignal(signal: ProcessSignal): void {
    switch (signal) {
      case 'SIGTERM':
      case 'SIGINT':
        if (server === undefined) stop.abort(new Error(STOPPED_AT_START));
        else server.drain();
        break;
      case 'SIGHUP':
        if (server === undefined)
          writeLine({ event: 'settings_reloaded', outcome: RELOAD_OUTCOME });
        else server.reload();
        break;
      default:
        assertNever(signal);
    }
  }

  // A reader of the log that has gone is no reason to end.
  process.stdout.on('error', () => undefined);
  process.stderr.on('error', () => undefined);
  process.on('uncaughtException', handleUncaught);
  process.on('unhandledRejection', handleUncaught);
  signals.onSignal(handleSignal);
  const context: StartContext = {
    stop: stop.signal,
    onDrained: closeDrained,
    onDrainFailed: (error) => closeProcess(END_REASON.Failed, 1, describeError(error)),
  };
  options.start(context).then((started) => {
    server = started;
    if (stop.signal.aborted) started.drain();
  }, closeStart);
}
