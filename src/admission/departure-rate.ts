/**
 * How fast a class's tickets leave a queue, by grant here or elsewhere. Waiting time is predicted
 * from this alone, so the estimate needs no step time, no length and no knowledge of other shards,
 * and a wrong one corrects itself within a window or two.
 */
const WINDOW_MS = 1000;
const WINDOW_ALPHA = 0.4;

/** Departures a millisecond. */
export interface DepartureRate {
  record(nowMs: number): void;
  /** The rate, or undefined before the first full window. */
  compute(nowMs: number): number | undefined;
}

/** Builds a rate that has seen nothing. */
export function createDepartureRate(): DepartureRate {
  let windowStartMs: number | undefined;
  let departures = 0;
  let rate: number | undefined;

  function advance(nowMs: number): void {
    windowStartMs ??= nowMs;
    const elapsedMs = nowMs - windowStartMs;
    if (elapsedMs < WINDOW_MS) return;
    const windowRate = departures / elapsedMs;
    rate = rate === undefined ? windowRate : rate + (windowRate - rate) * WINDOW_ALPHA;
    windowStartMs = nowMs;
    departures = 0;
  }

  return {
    record(nowMs) {
      advance(nowMs);
      departures += 1;
    },
    compute(nowMs) {
      advance(nowMs);
      return rate;
    },
  };
}
