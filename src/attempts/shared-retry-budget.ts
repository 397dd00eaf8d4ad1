/**
 * This instance's part of the second tries that all instances together may send to a pool in any
 * window. The part that follows demand needs no talk between instances: each spends a share of the
 * calls it took itself. The constant part is divided by the most instances ever seen, so that a cut
 * that hides some of them never makes the parts add up to more than the whole.
 */

/** Bounds of all instances together. */
export interface RetryBounds {
  readonly windowMs: number;
  /** Second tries for each call, 0 to 1. */
  readonly ratio: number;
  /** Second tries that are always allowed in a window. */
  readonly slack: number;
}

/** Part of the bounds that is spent: arrivals bunch up on their way, and instances are added. */
const USABLE_SHARE = 0.8;

/** The budget of one pool at one instance. */
export interface SharedRetryBudget {
  /** A call for the pool came in. */
  recordCall(nowMs: number): void;
  /** Spends one second try; false where none is left. */
  take(instances: number, nowMs: number): boolean;
}

function removeExpired(times: number[], beforeMs: number): void {
  let count = 0;
  while (count < times.length && (times[count] as number) < beforeMs) count += 1;
  if (count > 0) times.splice(0, count);
}

/** Builds the budget of an instance that started at this monotonic moment. */
export function createSharedRetryBudget(bounds: RetryBounds, startedMs: number): SharedRetryBudget {
  const calls: number[] = [];
  const retries: number[] = [];
  let instancesMax = 1;

  /**
   * Guards against spending the constant part twice: an instance that has just started knows neither how
   * many others share it nor what it spent before it was killed. When all are restarted together while a
   * pool fails, second tries would pile up to as many times the bound as there are instances.
   */
  function computeSlackShare(nowMs: number): number {
    return nowMs - startedMs < bounds.windowMs ? 0 : bounds.slack / instancesMax;
  }

  return {
    recordCall(nowMs) {
      removeExpired(calls, nowMs - bounds.windowMs);
      calls.push(nowMs);
    },
    take(instances, nowMs) {
      instancesMax = Math.max(instancesMax, instances);
      removeExpired(calls, nowMs - bounds.windowMs);
      removeExpired(retries, nowMs - bounds.windowMs);
      const allowed = bounds.ratio * calls.length + computeSlackShare(nowMs);
      if (retries.length + 1 > allowed * USABLE_SHARE) return false;
      retries.push(nowMs);
      return true;
    },
  };
}
