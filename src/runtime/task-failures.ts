/** Reports errors that the timers of a process throw: counts each, and logs the same one now and then. */
import { createBoundedMap } from '../utils/bounded-map.js';

/** The same error is logged again after this time. */
const LOG_INTERVAL_MS = 10_000;
const REMEMBERED_MAX = 64;

export interface TaskFailuresOptions {
  readonly getNow: () => number;
  readonly onCount: () => void;
  /** `reason`: the error and where it was thrown. */
  readonly onLog: (reason: string) => void;
}

/** Returns the function that receives the errors. */
export function createTaskFailures({ getNow, onCount, onLog }: TaskFailuresOptions) {
  const loggedMs = createBoundedMap<string, number>(REMEMBERED_MAX);
  return (error: unknown): void => {
    onCount();
    const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
    const nowMs = getNow();
    if (nowMs - (loggedMs.get(reason) ?? -Infinity) < LOG_INTERVAL_MS) return;
    loggedMs.set(reason, nowMs);
    onLog(reason);
  };
}
