/**
 * Detects expired leases of other holders. A lease is expired once its document has kept one
 * version for the lease duration on the local monotonic clock, so clocks of different machines are
 * never compared. Performs no I/O.
 */
import { createBoundedMap } from '../utils/bounded-map.js';

/** Documents tracked at most; an evicted one counts as first seen again. */
const OBSERVATIONS_MAX = 1024;

export interface LeaseExpiryTracker {
  /**
   * Whether the document has stayed at this version for the lease duration; `nowMs` is on the
   * monotonic clock.
   */
  isExpired(key: string, version: number, nowMs: number): boolean;
}

interface Observation {
  readonly version: number;
  readonly firstSeenMs: number;
}

export function createLeaseExpiryTracker(durationMs: number): LeaseExpiryTracker {
  const observations = createBoundedMap<string, Observation>(OBSERVATIONS_MAX);
  return {
    isExpired(key, version, nowMs) {
      const last = observations.get(key);
      if (last?.version === version) return nowMs - last.firstSeenMs >= durationMs;
      observations.set(key, { version, firstSeenMs: nowMs });
      return false;
    },
  };
}
