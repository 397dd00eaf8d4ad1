/**
 * Tells a data centre that is out of reach from one whose instances merely have nothing to say, by
 * the heartbeats that instances send each other anyway, free of I/O. It is cut off where none of its
 * instances is heard while others of the own data centre are: where nobody at all is heard it is
 * this instance that is cut off from its peers, which says nothing of the endpoints.
 */

/** Silence after which an instance counts as not heard, in milliseconds: three heartbeats lost. */
export const SILENCE_TIMEOUT_MS = 1000;

/** When each data centre was heard. */
export interface Reachability {
  /** An instance of the data centre was heard, by this instance or by one that it hears itself. */
  recordHeard(dataCentre: string, nowMs: number): void;
  /** Whether none of its instances is heard, while others of the own data centre are. */
  isCut(dataCentre: string, nowMs: number): boolean;
}

/** Builds a record of nobody heard. */
export function createReachability(ownDataCentre: string): Reachability {
  const lastHeardMs = new Map<string, number>();

  function isHeard(dataCentre: string, nowMs: number): boolean {
    return nowMs - (lastHeardMs.get(dataCentre) ?? -Infinity) < SILENCE_TIMEOUT_MS;
  }

  return {
    recordHeard(dataCentre, nowMs) {
      lastHeardMs.set(dataCentre, nowMs);
    },
    isCut(dataCentre, nowMs) {
      // What was never heard has not started, or tells nothing: no evidence either way.
      if (dataCentre === ownDataCentre || !lastHeardMs.has(dataCentre)) return false;
      return !isHeard(dataCentre, nowMs) && isHeard(ownDataCentre, nowMs);
    },
  };
}
