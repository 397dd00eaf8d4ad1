/**
 * How often watchers confirm that the source's data is the newest, and from which age on more instances watch, by
 * the time in which changes must be in force. Performs no I/O.
 */

/** Longest wait; a longer one would hide a connection that fails without being closed. */
const LEADING_WAIT_MAX_MS = 1500;
const LEADING_WAIT_MIN_MS = 200;
/** A slow call to the source and the spread of a confirmation to all instances. */
const SPREAD_MS = 700;
/** Age beyond which knowledge is stale in any deployment. */
const STALE_AFTER_MAX_MS = 2400;
/**
 * Time from the age at which more instances watch until all have what these read: a period of the decision, a list and
 * its spread.
 */
const TAKE_OVER_MS = 350;

export interface WatchPace {
  /** Time after which a leading watch returns even without a change, which confirms the current revision. */
  readonly leadingWaitMs: number;
  /** Age of the data from which on it is fetched from peers, and proves of no route or key that it does not exist. */
  readonly recentMaxMs: number;
  /** Age of the data from which on more instances watch. */
  readonly staleAfterMs: number;
}

/** `inForceMs`: time from a change's confirmation by the source until all instances in reach must act on it. */
export function computeWatchPace(inForceMs: number): WatchPace {
  const staleAfterMs = Math.max(
    LEADING_WAIT_MIN_MS + SPREAD_MS,
    Math.min(STALE_AFTER_MAX_MS, inForceMs - TAKE_OVER_MS),
  );
  const leadingWaitMs = Math.min(LEADING_WAIT_MAX_MS, staleAfterMs - SPREAD_MS);
  return { leadingWaitMs, recentMaxMs: leadingWaitMs + SPREAD_MS, staleAfterMs };
}

/** Of a deployment that declares no such time. */
export const DEFAULT_WATCH_PACE = computeWatchPace(Infinity);
