/**
 * The longest time from a stream's first event to the last try of its caller, as far as this instance
 * knows. Performs no I/O.
 */

/** Lower bound. */
const LIFE_MIN_MS = 10_000;
/** Longest time limit of a caller that counts; also the life while the stored rows are not read. */
const LIFE_MAX_MS = 60_000;
/** A longer life counts for at least this long after it was last named. */
const KEPT_MS = LIFE_MAX_MS;

export interface StreamLife {
  /** Records the longest timeout of the routes in force. */
  recordRoutes(timeoutMs: number): void;
  /** Records the time limit of a caller that gets a stream. */
  recordLimit(limitMs: number): void;
  /** Records the longest life of all stored rows; 0 if there are none. */
  recordStored(lifeMs: number): void;
  get(): number;
}

export function createStreamLife(getNow: () => number): StreamLife {
  let routesMs = 0;
  let hasReadStored = false;
  /** Largest values named in this period and the one before. */
  let currentMs = 0;
  let previousMs = 0;
  let periodStartMs = getNow();

  function advancePeriod(): void {
    const nowMs = getNow();
    if (nowMs - periodStartMs < KEPT_MS) return;
    previousMs = currentMs;
    currentMs = 0;
    periodStartMs = nowMs;
  }

  function recordNamed(ms: number): void {
    advancePeriod();
    currentMs = Math.max(currentMs, Math.min(ms, LIFE_MAX_MS));
  }

  return {
    recordRoutes(timeoutMs) {
      // Streams that began under the timeouts before live on.
      recordNamed(routesMs);
      routesMs = timeoutMs;
    },
    recordLimit: recordNamed,
    recordStored(lifeMs) {
      hasReadStored = true;
      recordNamed(lifeMs);
    },
    get() {
      advancePeriod();
      const floorMs = hasReadStored ? LIFE_MIN_MS : LIFE_MAX_MS;
      return Math.max(floorMs, routesMs, currentMs, previousMs);
    },
  };
}
