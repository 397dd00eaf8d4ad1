/** Watches for an event loop that stands still. Does no I/O. */
import type { TimerService, Unsubscribe } from './timer-service.js';

const CHECK_PERIOD_MS = 100;
/** Checks after which a stall is told. */
const CHECKS_PER_REPORT = 10;
/** Lateness of one check from which on the loop stood still. */
const STALL_MIN_MS = 100;

/** What the event loop missed since the last report, in milliseconds. */
export interface LoopStall {
  readonly longestMs: number;
  readonly totalMs: number;
  /** Processor time that the process used in the same time. */
  readonly cpuMs: number;
}

export interface LoopWatchOptions {
  readonly timers: TimerService;
  /** Processor time that the process has used, in milliseconds. */
  readonly getCpuMs: () => number;
  /** Called about once a second while the loop stands still. */
  readonly onStalled: (stall: LoopStall) => void;
}

/** Returns the function that stops the watch. */
export function checkLoop({ timers, getCpuMs, onStalled }: LoopWatchOptions): Unsubscribe {
  const getNow = (): number => timers.clock.monotonicMs();
  let checkedMs = getNow();
  let checks = 0;
  let longestMs = 0;
  let totalMs = 0;
  let cpuMs = getCpuMs();

  function publishStall(): void {
    const usedMs = getCpuMs();
    if (longestMs > 0) onStalled({ longestMs, totalMs, cpuMs: usedMs - cpuMs });
    checks = 0;
    longestMs = 0;
    totalMs = 0;
    cpuMs = usedMs;
  }

  return timers.subscribe(CHECK_PERIOD_MS, () => {
    const lateMs = getNow() - checkedMs - CHECK_PERIOD_MS;
    checkedMs = getNow();
    if (lateMs >= STALL_MIN_MS) {
      longestMs = Math.max(longestMs, lateMs);
      totalMs += lateMs;
    }
    checks += 1;
    if (checks >= CHECKS_PER_REPORT) publishStall();
  });
}
