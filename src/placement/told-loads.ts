/**
 * What other instances tell of their loads, summed up by endpoint, free of I/O. The sums are kept up to
 * date as tellings come, so that a choice among a hundred endpoints need not add up those of a fleet.
 */
import { hashName } from '../utils/hash.js';
import type { FailureCounts } from './failure-shares.js';
import type { PrefillSums } from './reading-pace.js';

/** What is under way at one endpoint. */
export interface EndpointLoad {
  /** Calls under way. */
  readonly running: number;
  /** Prompt tokens sent for which no first answer has come. */
  readonly unreadTokens: number;
}

/** The same, with what decides which engines are kept for urgent calls. */
export interface FleetLoad extends EndpointLoad {
  /** Those of the calls under way that are of the most urgent routes. */
  readonly urgent: number;
}

/** Names one start of an endpoint among instances: a hash of its id, which is short on the wire. */
export type EndpointKey = number;

/** What somebody has under way at one endpoint and how calls fared there lately. */
export interface EndpointShareOfLoad extends FleetLoad, FailureCounts, PrefillSums {
  readonly endpoint: EndpointKey;
}

/** What is told of one endpoint, summed up. */
export type LoadSums = Omit<EndpointShareOfLoad, 'endpoint'>;

/** Tellings by their source. */
export interface RemoteLoads {
  /** Replaces what the source told before; its failures count where it is of the own data centre. */
  set(
    source: string,
    shares: readonly EndpointShareOfLoad[],
    isSameDataCentre: boolean,
    nowMs: number,
  ): void;
  clear(): void;
  /** Leaves out what was told longer than `ageMaxMs` ago. */
  removeExpired(nowMs: number, ageMaxMs: number): void;
  get(endpoint: EndpointKey): LoadSums;
  /** Every endpoint that is told of. */
  list(): EndpointShareOfLoad[];
  /** What one source told last. */
  listFrom(source: string): readonly EndpointShareOfLoad[];
}

interface SourceLoads {
  readonly shares: readonly EndpointShareOfLoad[];
  readonly isSameDataCentre: boolean;
  readonly receivedMs: number;
}

interface Entry {
  sums: { -readonly [K in keyof LoadSums]: number };
  /** Tellings that name the endpoint. */
  sources: number;
}

/** Nothing under way and nothing known. */
const NO_LOAD: LoadSums = {
  running: 0,
  urgent: 0,
  unreadTokens: 0,
  answers: 0,
  failures: 0,
  readTokens: 0,
  readMs: 0,
};

/** Names one start of an endpoint among instances. */
export function hashStart(startId: string): EndpointKey {
  return hashName(startId);
}

/** Adds `load` to the sums, or takes it away. */
function addLoad(sums: Entry['sums'], load: LoadSums, sign: 1 | -1): void {
  sums.running += sign * load.running;
  sums.urgent += sign * load.urgent;
  sums.unreadTokens += sign * load.unreadTokens;
  sums.answers += sign * load.answers;
  sums.failures += sign * load.failures;
  sums.readTokens += sign * load.readTokens;
  sums.readMs += sign * load.readMs;
}

/** Shares of several instances, summed up by endpoint. */
export function mergeShares(
  lists: readonly (readonly EndpointShareOfLoad[])[],
): EndpointShareOfLoad[] {
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

/** Builds tellings of nobody. */
export function createRemoteLoads(): RemoteLoads {
  const loadsOfSource = new Map<string, SourceLoads>();
  const entries = new Map<EndpointKey, Entry>();

  function applySource({ shares, isSameDataCentre }: SourceLoads, sign: 1 | -1): void {
    for (const share of shares) {
      const entry = entries.get(share.endpoint) ?? { sums: { ...NO_LOAD }, sources: 0 };
      addLoad(entry.sums, isSameDataCentre ? share : { ...share, answers: 0, failures: 0 }, sign);
      entry.sources += sign;
      // Dropped rather than left at zero: sums of fractions would keep a rest.
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
