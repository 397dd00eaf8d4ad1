/**
 * Token bucket of retries that successes refill. Guards against retries that multiply the load on a
 * failing pool.
 */
const RETRIES_PER_SUCCESS = 0.2;
const RETRY_CAPACITY = 24;

/** Retry budget of one pool and class. */
export interface RetryBudget {
  /** Adds to the budget after a successful request. */
  recordSuccess(): void;
  /** Spends one retry; false if none is left. */
  take(): boolean;
  get(): number;
}

/** Creates a full budget. */
export function createRetryBudget(): RetryBudget {
  let remaining = RETRY_CAPACITY;
  return {
    recordSuccess() {
      remaining = Math.min(RETRY_CAPACITY, remaining + RETRIES_PER_SUCCESS);
    },
    take() {
      if (remaining < 1) return false;
      remaining -= 1;
      return true;
    },
    get: () => remaining,
  };
}
