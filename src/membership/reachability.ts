/**
 * Tells a data centre that is out of reach from one whose instances merely have nothing to say, by
 * the heartbeats that instances send each other anyway, free of I/O. It is cut off where none of its
 * instances is heard while others of the own data centre are: where nobody at all is heard it is
 * this instance that is cut off from its peers, which says nothing of the endpoints.
 */

/** Silence after which an instance counts as not heard, in milliseconds: three heartbeats lost. */
export const SILENT_MS = 1000;

/** An instance that is held for alive. */
export interface HeardPeer {
  readonly name: string;
  readonly dataCentre: string;
}

/** Who was heard when. */
export interface Reachability {
  recordHeard(name: string, nowMs: number): void;
  /** `peers`: every other instance that belongs to the fleet and has not left it. */
  isCut(dataCentre: string, peers: readonly HeardPeer[], nowMs: number): boolean;
}

/** Builds a record of nobody heard. */
export function createReachability(ownDataCentre: string): Reachability {
  const heardMs = new Map<string, number>();

  function isHeard(name: string, nowMs: number): boolean {
    return nowMs - (heardMs.get(name) ?? -Infinity) < SILENT_MS;
  }

  return {
    recordHeard(name, nowMs) {
      heardMs.set(name, nowMs);
    },
    isCut(dataCentre, peers, nowMs) {
      if (dataCentre === ownDataCentre) return false;
      // Who was never heard has not started, or tells nothing: no evidence either way.
      const known = peers.filter(({ name }) => heardMs.has(name));
      const there = known.filter((peer) => peer.dataCentre === dataCentre);
      if (there.length === 0 || there.some(({ name }) => isHeard(name, nowMs))) return false;
      return known.some((peer) => peer.dataCentre === ownDataCentre && isHeard(peer.name, nowMs));
    },
  };
}
