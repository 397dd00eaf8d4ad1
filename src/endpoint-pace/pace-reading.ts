/** What the fleet saw of an endpoint recently, read from the sums that load updates carry. */
import type { EndpointLoads } from '../placement/endpoint-loads.js';
import { computeFailureRate } from '../placement/failure-rate.js';
import type { PrefillSums } from '../placement/prefill-slowdown.js';
import type { RegisteredEndpoint } from '../types/traffic.js';

export interface PaceReading {
  /** Calls that all instances have running there. */
  readonly running: number;
  /** Calls of this instance that are running there. */
  readonly ownRunning: number;
  /** Calls that the endpoint answered or began to answer; older ones count for less. */
  readonly answered: number;
  /** Calls that failed or were refused; older ones count for less. */
  readonly failures: number;
  /** Recent failure rate, 0 to 1. */
  readonly failureRate: number;
  /** Whether calls of this instance failed there in a row; refusals for want of room do not count. */
  readonly isSuspect: boolean;
  /** Time to first events relative to the other endpoints, for the same tokens read. */
  readonly slowdown: number;
}

export type PaceLoads = Pick<EndpointLoads, 'readSeen' | 'getPoolTiming' | 'isSuspect'>;

/**
 * Weight of the speed of the other endpoints in the slowdown, in prompts of mean size, so that no
 * single answer decides.
 */
const PRIOR_PROMPTS = 4;

/** Prompts that the given endpoints read recently, as the whole fleet saw it. */
export function readReference(
  loads: PaceLoads,
  endpoints: readonly RegisteredEndpoint[],
  nowMs: number,
): PrefillSums {
  return endpoints
    .map(({ startId }) => loads.readSeen(startId, nowMs))
    .reduce(
      (sum, seen) => ({
        readTokens: sum.readTokens + seen.readTokens,
        readMs: sum.readMs + seen.readMs,
      }),
      { readTokens: 0, readMs: 0 },
    );
}

/**
 * Returns the time to first events at an endpoint, as a multiple of the time that the others take for
 * the same tokens; 1 while unknown.
 */
function computeFirstEventSlowdown(
  { readTokens, readMs }: PrefillSums,
  reference: PrefillSums,
  meanReadTokens: number,
): number {
  if (reference.readTokens <= 0 || reference.readMs <= 0 || meanReadTokens <= 0) return 1;
  const msPerToken = reference.readMs / reference.readTokens;
  const priorMs = PRIOR_PROMPTS * meanReadTokens * msPerToken;
  return (readMs + priorMs) / (readTokens * msPerToken + priorMs);
}

/** `reference` are the prompts read by endpoints of the pool that have no limit. */
export function readPace(
  loads: PaceLoads,
  endpoint: RegisteredEndpoint,
  reference: PrefillSums,
  nowMs: number,
): PaceReading {
  const seen = loads.readSeen(endpoint.startId, nowMs);
  const { running, ownRunning, answers, failures, readTokens } = seen;
  const { meanReadTokens } = loads.getPoolTiming(endpoint.pool);
  const prompts = meanReadTokens > 0 ? readTokens / meanReadTokens : 0;
  return {
    running,
    ownRunning,
    // A stream counts among the answers at its end, but its prompt has been read at its first event.
    answered: Math.max(answers - failures, prompts),
    failures,
    failureRate: computeFailureRate({ answers, failures }),
    isSuspect: loads.isSuspect(endpoint.startId, nowMs),
    slowdown: computeFirstEventSlowdown(seen, reference, meanReadTokens),
  };
}
