/**
 * Hard load in part of the seeds of randomised runs: engines of unlike speed that slow down when
 * nearly full, an organisation that floods, and callers that return after `Retry-After`.
 */
import type { RequestFailure } from '../types/outcomes.js';
import { OUTCOME } from '../types/outcomes.js';
import type { FakeEndpoint } from './fake-endpoint.js';

/** One seed in this many has hard load. */
const HARD_SEED_INTERVAL = 3;
/** Factors on time that endpoints have by turns. */
const TIME_FACTORS = [0.7, 0.7, 1.7] as const;
const NEARLY_FULL_FACTOR = 1.5;
/** The flood, as shares of the time of faults. */
const FLOOD_FROM_SHARE = 0.3;
const FLOOD_TO_SHARE = 0.6;
const FLOOD_CALLS = 5;
/** Longest `Retry-After` that callers honour, as a share of the time they have left. */
const RETURN_SHARE_MAX = 1 / 3;

export const FLOODING_TEAM = 'flooding';

export function hasHardLoad(seed: number): boolean {
  return seed % HARD_SEED_INTERVAL === 1;
}

export function setSpeeds(endpoints: readonly FakeEndpoint[]): void {
  endpoints.forEach((endpoint, index) => {
    endpoint.timeFactor = TIME_FACTORS[index % TIME_FACTORS.length] as number;
    endpoint.nearlyFullFactor = NEARLY_FULL_FACTOR;
  });
}

/** Counts the calls of the flooding organisation that come with each other call. */
export function countFloodCalls(elapsedMs: number, durationMs: number): number {
  const share = elapsedMs / durationMs;
  return share >= FLOOD_FROM_SHARE && share < FLOOD_TO_SHARE ? FLOOD_CALLS : 0;
}

/** Returns the delay after which the caller sends the request again; undefined if it does not. */
export function computeReturnDelayMs(
  { outcome, retryAfterMs }: RequestFailure,
  leftMs: number,
): number | undefined {
  const isHonoured = retryAfterMs !== undefined && retryAfterMs <= leftMs * RETURN_SHARE_MAX;
  return outcome === OUTCOME.NotRun && isHonoured ? retryAfterMs : undefined;
}
