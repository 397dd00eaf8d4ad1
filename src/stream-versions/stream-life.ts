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
  /** Records the time limit of an own caller. */
  recordLimit(limitMs: number): void;
  /** Records the longest life of all stored rows; 0 if there are none. */
  recordStored(lifeMs: number): void;
  /** Records what an instance that tells or asks of streams counts for its own callers. */
  recordTold(lifeMs: number): void;
  /** Records what an asked instance replied. */
  recordReplied(lifeMs: number): void;
  get(): number;
  /** The same for own callers alone, so that no life goes round among instances. */
  getOwn(): number;
  /** The same for own callers and those of instances that told or asked. */
  getTold(): number;
}

/** Largest value of this period and the one before. */
interface RecentMax {
  record(ms: number): void;
  get(): number;
}

function createRecentMax(getNow: () => number): RecentMax {
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

  return {
    record(ms) {
      advancePeriod();
      currentMs = Math.max(currentMs, Math.min(ms, LIFE_MAX_MS));
    },
    get() {
      advancePeriod();
      return Math.max(currentMs, previousMs);
    },
  };
}

export function createStreamLife(getNow: () => number): StreamLife {
  let routesMs = 0;
  let hasReadStored = false;
  const own = createRecentMax(getNow);
  const told = createRecentMax(getNow);
  /** Of stored rows and replies. */
  const heard = createRecentMax(getNow);

  function getOwn(): number {
    return Math.max(routesMs, own.get());
  }

  function getTold(): number {
    return Math.max(getOwn(), told.get());
  }

  return {
    recordRoutes(timeoutMs) {
      // Streams that began under the timeouts before live on.
      own.record(routesMs);
      routesMs = timeoutMs;
    },
    recordLimit: (limitMs) => own.record(limitMs),
    recordStored(lifeMs) {
      hasReadStored = true;
      heard.record(lifeMs);
    },
    recordTold: (lifeMs) => told.record(lifeMs),
    recordReplied: (lifeMs) => heard.record(lifeMs),
    get() {
      const floorMs = hasReadStored ? LIFE_MIN_MS : LIFE_MAX_MS;
      return Math.max(floorMs, getTold(), heard.get());
    },
    getOwn,
    getTold,
  };
}
