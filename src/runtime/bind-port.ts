/**
 * Binds the ports of a process that starts. A port that a predecessor still holds, or an address that
 * the machine does not have yet, is waited for; any other error ends the start at once.
 */
import type { Server } from 'node:net';
import { parseListen } from '../utils/address.js';
import type { TimerService } from './timer-service.js';

/** Added to the time that a predecessor may take to end. */
export const PORT_WAIT_MARGIN_MS = 4000;
const RETRY_MIN_MS = 50;
const RETRY_MAX_MS = 500;
const LOG_INTERVAL_MS = 5000;

/** A predecessor ends within its grace period; a machine may get its address after its processes start. */
const AWAITED_CODES: readonly string[] = ['EADDRINUSE', 'EADDRNOTAVAIL'];

/** A port that cannot be bound; the message names the address and the remedy. */
export class PortUnavailableError extends Error {
  constructor({ role, address }: Port, waitedMs: number, cause: unknown) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    super(
      `the port of ${role}, ${address}, cannot be bound after ${Math.round(waitedMs)} ms (${detail}); ` +
        'stop the process that holds it, or set another address',
      { cause },
    );
    this.name = 'PortUnavailableError';
  }
}

export interface Port {
  /** What the port is for. */
  readonly role: string;
  /** HOST:PORT */
  readonly address: string;
}

/** A port that is being waited for. */
export interface PortWait extends Port {
  readonly reason: string;
  /** Time after which the start gives up. */
  readonly leftMs: number;
}

export interface PortBinderOptions {
  readonly timers: TimerService;
  /** Time that all ports of the start may take together. */
  readonly waitMaxMs: number;
  /** Ends the start. */
  readonly stop: AbortSignal | undefined;
  /** Called when a port turns out to be held, and seldom while it stays so. */
  readonly onWait: (wait: PortWait) => void;
  /** Called for errors of a server that listens, such as of accepting a connection. */
  readonly onServerError: (role: string, error: Error) => void;
}

export interface PortBinder {
  /** Calls `tryBind` until it succeeds; throws a `PortUnavailableError`, or the reason of `stop`. */
  open<T>(port: Port, tryBind: () => Promise<T>): Promise<T>;
  /** Lets a server listen at a port; throws as `open` does. */
  openServer(port: Port, server: Server): Promise<void>;
}

/** Listens, trying once; port 0 takes a free one. */
function startListening(server: Server, address: string): Promise<void> {
  const { host, port } = parseListen(address);
  return new Promise((resolve, reject) => {
    const onListening = (): void => {
      server.off('error', onError);
      resolve();
    };
    const onError = (error: Error): void => {
      server.off('listening', onListening);
      reject(error);
    };
    server.once('error', onError);
    server.once('listening', onListening);
    server.listen(port, host);
  });
}

/** Creates the binder of one start. */
export function createPortBinder(options: PortBinderOptions): PortBinder {
  const { timers, waitMaxMs, stop, onWait, onServerError } = options;
  const getNow = timers.clock.monotonicMs;
  const beganMs = getNow();
  const endMs = beganMs + waitMaxMs;

  /** Resolves early if the start is stopped. */
  function waitRetry(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      const end = (): void => {
        cancel();
        stop?.removeEventListener('abort', end);
        resolve();
      };
      const cancel = timers.subscribeOnce(delayMs, end);
      stop?.addEventListener('abort', end);
    });
  }

  async function open<T>(port: Port, tryBind: () => Promise<T>): Promise<T> {
    let delayMs = RETRY_MIN_MS;
    let loggedMs = -Infinity;
    for (;;) {
      stop?.throwIfAborted();
      try {
        // Attempts are sequential.
        // eslint-disable-next-line no-await-in-loop
        return await tryBind();
      } catch (error) {
        const { code = '' } = error as NodeJS.ErrnoException;
        const nowMs = getNow();
        if (!AWAITED_CODES.includes(code) || nowMs >= endMs)
          throw new PortUnavailableError(port, nowMs - beganMs, error);
        if (nowMs - loggedMs >= LOG_INTERVAL_MS) {
          loggedMs = nowMs;
          onWait({ ...port, reason: (error as Error).message, leftMs: Math.round(endMs - nowMs) });
        }
        // eslint-disable-next-line no-await-in-loop
        await waitRetry(Math.min(delayMs, endMs - nowMs));
        delayMs = Math.min(RETRY_MAX_MS, delayMs * 2);
      }
    }
  }

  return {
    open,
    async openServer(port, server) {
      await open(port, () => startListening(server, port.address));
      server.on('error', (error) => onServerError(port.role, error));
    },
  };
}
