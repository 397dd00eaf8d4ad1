/**
 * A budget of second tries: a share of what went well, not a count per request, so that a failing
 * pool is not hit harder because it fails. A small reserve lets a single crash be repaired.
 */
const EARNED_PER_SUCCESS = 0.2;
const RESERVE = 24;

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
  let left = RESERVE;
  return {
    record() {
      left = Math.min(RESERVE, left + EARNED_PER_SUCCESS);
    },
    take() {
      if (left < 1) return false;
      left -= 1;
      return true;
    },
    get: () => left,
  };
}
