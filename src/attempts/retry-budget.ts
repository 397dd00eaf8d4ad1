/**
 * A budget of second tries: a share of what went well, not a count per request, so that a failing
 * pool is not hit harder because it fails. A small reserve lets a single crash be repaired.
 */
const RETRIES_PER_SUCCESS = 0.2;
const RETRY_CAPACITY = 24;

/** The budget of one pool and class. */
export interface RetryBudget {
  /** A request ended well. */
  record(): void;
  /** Spends one second try; false if there is none left. */
  take(): boolean;
  get(): number;
}

/** Builds a budget with its reserve full. */
export function createRetryBudget(): RetryBudget {
  let remaining = RETRY_CAPACITY;
  return {
    record() {
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
