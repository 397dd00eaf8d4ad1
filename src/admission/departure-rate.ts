/**
 * Moving average of the rate at which tickets leave a class's queue, by a grant here or elsewhere.
 * Predicting queueing delay from it needs no knowledge of response lengths or other shards.
 */
const WINDOW_MS = 1000;
const WINDOW_ALPHA = 0.4;

/** Departures per millisecond. */
export interface DepartureRate {
  record(nowMs: number): void;
  /** The rate, or undefined before the first full window. */
  compute(nowMs: number): number | undefined;
}

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
