/**
 * Judges leases of others lapsed, free of I/O: a document that has not changed for its length since this
 * instance first saw it. No clock of another machine is asked, and whoever sees it for the first time waits.
 */
import { createBoundedMap } from '../utils/bounded-map.js';

/** Documents that are remembered; one that was forgotten counts as seen for the first time. */
const SEEN_MAX = 1024;

/** Documents as this instance saw them. */
export interface LapseWatch {
  /** Whether a document has stood at this version for long enough; `nowMs` is of the monotonic clock. */
  isLapsed(key: string, version: number, nowMs: number): boolean;
}

interface Seen {
  readonly version: number;
  readonly sinceMs: number;
}

/** Builds a watch that has seen nothing. */
export function createLapseWatch(lengthMs: number): LapseWatch {
  const seenOf = createBoundedMap<string, Seen>(SEEN_MAX);
  return {
    isLapsed(key, version, nowMs) {
      const seen = seenOf.get(key);
      if (seen?.version === version) return nowMs - seen.sinceMs >= lengthMs;
      seenOf.set(key, { version, sinceMs: nowMs });
      return false;
    },
  };
}
