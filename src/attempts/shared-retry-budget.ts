/**
 * This instance's share of the retries that all instances together may send to a pool in a sliding
 * window. A ratio of its own calls needs no coordination. The constant slack is divided by the most
 * instances ever known, so that a network partition does not raise the total above the bound.
 */

/** Bounds for all instances together. */
export interface RetryBounds {
  readonly windowMs: number;
  /** Retries per call, 0 to 1. */
  readonly ratio: number;
  /** Retries allowed in a window regardless of calls. */
  readonly slack: number;
}

/** Leaves a margin for arrivals that bunch up on their way and instances that join. */
const USABLE_SHARE = 0.8;

/** Retry budget of one pool at one instance. */
export interface SharedRetryBudget {
  recordCall(nowMs: number): void;
  /** Whether a retry is left. */
  has(instances: number, nowMs: number): boolean;
  /** Spends one retry; false if none is left. */
  take(instances: number, nowMs: number): boolean;
}

function removeExpired(times: number[], beforeMs: number): void {
  let count = 0;
  while (count < times.length && (times[count] as number) < beforeMs) count += 1;
  if (count > 0) times.splice(0, count);
}

/** `startedMs` is the start of the instance on the monotonic clock. */
export function createSharedRetryBudget(bounds: RetryBounds, startedMs: number): SharedRetryBudget {
  const calls: number[] = [];
  const retries: number[] = [];
  let instancesMax = 1;

  /**
   * Guards against retries beyond the bound after instances restart together: in its first window an
   * instance knows neither how many others share the slack nor what it spent before the restart.
   */
  function computeSlackShare(nowMs: number): number {
    return nowMs - startedMs < bounds.windowMs ? 0 : bounds.slack / instancesMax;
  }

  function has(instances: number, nowMs: number): boolean {
    instancesMax = Math.max(instancesMax, instances);
    removeExpired(calls, nowMs - bounds.windowMs);
    removeExpired(retries, nowMs - bounds.windowMs);
    const allowed = bounds.ratio * calls.length + computeSlackShare(nowMs);
    return retries.length + 1 <= allowed * USABLE_SHARE;
  }

  return {
    has,
    recordCall(nowMs) {
      removeExpired(calls, nowMs - bounds.windowMs);
      calls.push(nowMs);
    },
    take(instances, nowMs) {
      if (!has(instances, nowMs)) return false;
      retries.push(nowMs);
      return true;
    },
  };
}
