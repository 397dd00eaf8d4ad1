/**
 * Detects unreachable data centres from the heartbeats of their instances; does no I/O. A data
 * centre is unreachable if none of its instances is heard while others of the own data centre are.
 * If nobody is heard, this instance itself is cut off from its peers, which says nothing about
 * endpoints.
 */

/** Three lost heartbeats. */
export const SILENCE_TIMEOUT_MS = 1000;

export interface Reachability {
  /** An instance of the data centre was heard, directly or through a peer. */
  recordHeard(dataCentre: string, nowMs: number): void;
  /** Whether none of its instances is heard while others of the own data centre are. */
  isDataCentreUnreachable(dataCentre: string, nowMs: number): boolean;
}

export function createReachability(ownDataCentre: string): Reachability {
  const lastHeardMs = new Map<string, number>();

  function isHeard(dataCentre: string, nowMs: number): boolean {
    return nowMs - (lastHeardMs.get(dataCentre) ?? -Infinity) < SILENCE_TIMEOUT_MS;
  }

  return {
    recordHeard(dataCentre, nowMs) {
      lastHeardMs.set(dataCentre, nowMs);
    },
    isDataCentreUnreachable(dataCentre, nowMs) {
      // A data centre that was never heard may not have started yet: no evidence either way.
      if (dataCentre === ownDataCentre || !lastHeardMs.has(dataCentre)) return false;
      return !isHeard(dataCentre, nowMs) && isHeard(ownDataCentre, nowMs);
    },
  };
}
