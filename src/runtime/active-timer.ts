/** A periodic timer that runs only while there is work, so that an idle process does not wake up. */
import type { TimerService, Unsubscribe } from './timer-service.js';

export interface ActiveTimer {
  /** Runs the timer until no work is left; has no effect while it runs. */
  start(): void;
}

/** `advance` returns whether work is left. */
export function createActiveTimer(
  timers: TimerService,
  periodMs: number,
  advance: () => boolean,
): ActiveTimer {
  let stop: Unsubscribe | undefined;

  function runPeriod(): void {
    if (advance()) return;
    stop?.();
    stop = undefined;
  }

  return {
    start() {
      stop ??= timers.subscribe(periodMs, runPeriod);
    },
  };
}
