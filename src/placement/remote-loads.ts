/**
 * Loads reported by other instances, summed by endpoint. Sums are updated with each report, so that
 * a lookup does not depend on the size of the fleet.
 */
import { hashName } from '../utils/hash.js';
import type { FailureCounts } from './failure-rate.js';
import type { PauseSums } from './pause-sums.js';
import type { PrefillSums } from './prefill-slowdown.js';

/** Calls in progress at one endpoint. */
export interface EndpointLoad {
  readonly running: number;
  /** Prompt tokens of calls whose first event has not come yet. */
  readonly unreadTokens: number;
}

export interface FleetLoad extends EndpointLoad {
  /** Running calls of the most urgent routes. */
  readonly urgent: number;
  /** Running calls of the least urgent routes, which an engine preempts for others. */
  readonly preemptible: number;
  /** Unread prompt tokens of these calls. */
  readonly preemptibleUnreadTokens: number;
}

/** Identifies one start of an endpoint in messages between instances: a hash of its start id. */
export type EndpointKey = number;

/** One instance's load at an endpoint and the recent outcomes of its calls there. */
export interface EndpointLoadShare extends FleetLoad, FailureCounts, PrefillSums, PauseSums {
  readonly endpoint: EndpointKey;
}

export type LoadSums = Omit<EndpointLoadShare, 'endpoint'>;

/** Loads by the source that reported them. */
export interface RemoteLoads {
  /**
   * Replaces the source's previous report. Failures count only within the same data centre, since
   * an endpoint may fail the calls of one data centre alone.
   */
  set(
    source: string,
    shares: readonly EndpointLoadShare[],
    isSameDataCentre: boolean,
    nowMs: number,
  ): void;
  clear(): void;
  /** Removes reports older than `ageMaxMs`. */
  removeExpired(nowMs: number, ageMaxMs: number): void;
  get(endpoint: EndpointKey): LoadSums;
  /** Sums of all reported endpoints. */
  list(): EndpointLoadShare[];
  /** The source's latest report. */
  listFrom(source: string): readonly EndpointLoadShare[];
}

interface SourceLoads {
  readonly shares: readonly EndpointLoadShare[];
  readonly isSameDataCentre: boolean;
  readonly receivedMs: number;
}

interface Entry {
  sums: { -readonly [K in keyof LoadSums]: number };
  /** Number of sources that report the endpoint. */
  sources: number;
}

const NO_LOAD: LoadSums = {
  running: 0,
  urgent: 0,
  preemptible: 0,
  preemptibleUnreadTokens: 0,
  unreadTokens: 0,
  answers: 0,
  failures: 0,
  readTokens: 0,
  readMs: 0,
  pauses: 0,
  pauseMs: 0,
};

export function hashStartId(startId: string): EndpointKey {
  return hashName(startId);
}

/** Adds `load` to the sums, or subtracts it. */
function addLoad(sums: Entry['sums'], load: LoadSums, sign: 1 | -1): void {
  sums.running += sign * load.running;
  sums.urgent += sign * load.urgent;
  sums.preemptible += sign * load.preemptible;
  sums.preemptibleUnreadTokens += sign * load.preemptibleUnreadTokens;
  sums.unreadTokens += sign * load.unreadTokens;
  sums.answers += sign * load.answers;
  sums.failures += sign * load.failures;
  sums.readTokens += sign * load.readTokens;
  sums.readMs += sign * load.readMs;
  sums.pauses += sign * load.pauses;
  sums.pauseMs += sign * load.pauseMs;
}

/** Sums the shares of several instances by endpoint. */
export function mergeShares(lists: readonly (readonly EndpointLoadShare[])[]): EndpointLoadShare[] {
  const sums = new Map<EndpointKey, Entry['sums']>();
  for (const shares of lists) {
    for (const share of shares) {
      const sum = sums.get(share.endpoint) ?? { ...NO_LOAD };
      addLoad(sum, share, 1);
      sums.set(share.endpoint, sum);
    }
  }
  return [...sums].map(([endpoint, sum]) => ({ endpoint, ...sum }));
}

export function createRemoteLoads(): RemoteLoads {
  const loadsOfSource = new Map<string, SourceLoads>();
  const entries = new Map<EndpointKey, Entry>();

  function applySource({ shares, isSameDataCentre }: SourceLoads, sign: 1 | -1): void {
    for (const share of shares) {
      const entry = entries.get(share.endpoint) ?? { sums: { ...NO_LOAD }, sources: 0 };
      addLoad(entry.sums, isSameDataCentre ? share : { ...share, answers: 0, failures: 0 }, sign);
      entry.sources += sign;
      // Deleted rather than left at zero, since sums of fractions leave rounding errors.
      if (entry.sources > 0) entries.set(share.endpoint, entry);
      else entries.delete(share.endpoint);
    }
  }

  function removeSource(source: string): void {
    const known = loadsOfSource.get(source);
    if (known === undefined) return;
    loadsOfSource.delete(source);
    applySource(known, -1);
  }

  return {
    set(source, shares, isSameDataCentre, nowMs) {
      removeSource(source);
      const received: SourceLoads = {
        shares,
        isSameDataCentre,
        receivedMs: nowMs,
      };
      loadsOfSource.set(source, received);
      applySource(received, 1);
    },
    clear() {
      loadsOfSource.clear();
      entries.clear();
    },
    removeExpired(nowMs, ageMaxMs) {
      for (const [source, { receivedMs }] of loadsOfSource) {
        if (nowMs - receivedMs > ageMaxMs) removeSource(source);
      }
    },
    get: (endpoint) => entries.get(endpoint)?.sums ?? NO_LOAD,
    list: () => [...entries].map(([endpoint, { sums }]) => ({ endpoint, ...sums })),
    listFrom: (source) => loadsOfSource.get(source)?.shares ?? [],
  };
}
