/**
 * Judges leases of others lapsed, free of I/O: a document that has not changed for its length since this
 * instance first saw it. No clock of another machine is asked, and whoever sees it for the first time waits.
 */
import { createBoundedMap } from '../utils/bounded-map.js';

/** Documents that are remembered; one that was forgotten counts as seen for the first time. */
const OBSERVATIONS_MAX = 1024;

/** Documents as this instance saw them. */
export interface LeaseExpiryTracker {
  /** Whether a document has stood at this version for long enough; `nowMs` is of the monotonic clock. */
  isLapsed(key: string, version: number, nowMs: number): boolean;
}

interface Observation {
  readonly version: number;
  readonly firstSeenMs: number;
}

/** Builds a watch that has seen nothing. */
export function createLapseWatch(durationMs: number): LeaseExpiryTracker {
  const observations = createBoundedMap<string, Observation>(OBSERVATIONS_MAX);
  return {
    isLapsed(key, version, nowMs) {
      const last = observations.get(key);
      if (last?.version === version) return nowMs - last.firstSeenMs >= durationMs;
      observations.set(key, { version, firstSeenMs: nowMs });
      return false;
    },
  };
}
