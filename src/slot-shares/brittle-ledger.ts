/** Starts of endpoints that say that they are brittle. Performs no I/O. */
import type { EndpointKey } from '../placement/remote-loads.js';

/**
 * An endpoint says so in all of its responses; after this time without one, nobody sends there, and
 * nobody needs to remember.
 */
const REMEMBERED_MS = 10_000;
export const OWN_SOURCE = 'own';

/** What instances tell each other of a brittle endpoint. */
export interface BrittleReport {
  readonly endpoint: EndpointKey;
  readonly rejectionsMax: number;
  /** How long ago a response said so. */
  readonly agoMs: number;
}

export interface KnownBrittle {
  readonly endpoint: EndpointKey;
  readonly rejectionsMax: number;
  /** 'own' or the name of the instance that reported it. */
  readonly source: string;
  readonly heardMs: number;
}

export interface BrittleChange {
  readonly known: KnownBrittle;
  readonly isBrittle: boolean;
}

export interface BrittleLedger {
  hasAny(): boolean;
  has(endpoint: EndpointKey): boolean;
  /** Each function that changes something returns what began or ended. */
  record(endpoint: EndpointKey, rejectionsMax: number, nowMs: number): BrittleChange | undefined;
  /** A response of the endpoint does not say so any more. */
  remove(endpoint: EndpointKey, nowMs: number): BrittleChange | undefined;
  merge(reports: readonly BrittleReport[], source: string, nowMs: number): BrittleChange[];
  removeExpired(nowMs: number): BrittleChange[];
  buildReports(nowMs: number): BrittleReport[];
  list(): readonly KnownBrittle[];
}

export function createBrittleLedger(): BrittleLedger {
  const known = new Map<EndpointKey, KnownBrittle>();
  /** When an endpoint was last heard not to be brittle, so that an older report does not count. */
  const removedMs = new Map<EndpointKey, number>();

  function set(next: KnownBrittle): BrittleChange | undefined {
    const before = known.get(next.endpoint);
    if (before !== undefined && before.heardMs >= next.heardMs) return undefined;
    known.set(next.endpoint, next);
    return before === undefined ? { known: next, isBrittle: true } : undefined;
  }

  function removeKnown(endpoint: EndpointKey): BrittleChange | undefined {
    const before = known.get(endpoint);
    if (before === undefined) return undefined;
    known.delete(endpoint);
    return { known: before, isBrittle: false };
  }

  return {
    hasAny: () => known.size > 0,
    has: (endpoint) => known.has(endpoint),
    record: (endpoint, rejectionsMax, heardMs) =>
      set({ endpoint, rejectionsMax, source: OWN_SOURCE, heardMs }),
    remove(endpoint, nowMs) {
      if (!known.has(endpoint)) return undefined;
      removedMs.set(endpoint, nowMs);
      return removeKnown(endpoint);
    },
    merge: (reports, source, nowMs) =>
      reports
        .map(({ endpoint, rejectionsMax, agoMs }) => {
          const heardMs = nowMs - agoMs;
          const isOutdated = heardMs <= (removedMs.get(endpoint) ?? -Infinity);
          const isExpired = agoMs >= REMEMBERED_MS;
          if (isOutdated || isExpired) return undefined;
          return set({ endpoint, rejectionsMax, source, heardMs });
        })
        .filter((change) => change !== undefined),
    removeExpired(nowMs) {
      const isExpired = (atMs: number): boolean => nowMs - atMs >= REMEMBERED_MS;
      for (const [endpoint, atMs] of removedMs) if (isExpired(atMs)) removedMs.delete(endpoint);
      return [...known.values()]
        .filter(({ heardMs }) => isExpired(heardMs))
        .map(({ endpoint }) => removeKnown(endpoint))
        .filter((change) => change !== undefined);
    },
    buildReports: (nowMs) =>
      [...known.values()]
        .filter(({ source }) => source === OWN_SOURCE)
        .map(({ endpoint, rejectionsMax, heardMs }) => ({
          endpoint,
          rejectionsMax,
          agoMs: Math.round(nowMs - heardMs),
        })),
    list: () => [...known.values()],
  };
}
