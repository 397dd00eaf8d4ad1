/**
 * What other instances tell of their loads, summed up by endpoint, free of I/O. The sums are kept up to
 * date as tellings come, so that a choice among a hundred endpoints need not add up those of a fleet.
 */
import { hashName } from '../utils/hash.js';
import type { FailureCounts } from './failure-shares.js';
import type { ReadingSums } from './reading-pace.js';

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
export interface EndpointShareOfLoad extends FleetLoad, FailureCounts, ReadingSums {
  readonly endpoint: EndpointKey;
}

/** What is told of one endpoint, summed up. */
export type LoadSums = Omit<EndpointShareOfLoad, 'endpoint'>;

/** Tellings by their source. */
export interface ToldLoads {
  /** Replaces what the source told before; its failures count where it is of the own data centre. */
  set(source: string, shares: readonly EndpointShareOfLoad[], isNear: boolean, nowMs: number): void;
  clear(): void;
  /** Leaves out what was told longer than `ageMaxMs` ago. */
  advance(nowMs: number, ageMaxMs: number): void;
  get(endpoint: EndpointKey): LoadSums;
  /** Every endpoint that is told of. */
  list(): EndpointShareOfLoad[];
  /** What one source told last. */
  listOf(source: string): readonly EndpointShareOfLoad[];
}

interface Telling {
  readonly shares: readonly EndpointShareOfLoad[];
  readonly isNear: boolean;
  readonly toldMs: number;
}

interface Entry {
  sums: { -readonly [K in keyof LoadSums]: number };
  /** Tellings that name the endpoint. */
  tellings: number;
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
export function createToldLoads(): ToldLoads {
  const tellings = new Map<string, Telling>();
  const entries = new Map<EndpointKey, Entry>();

  function addTelling({ shares, isNear }: Telling, sign: 1 | -1): void {
    for (const share of shares) {
      const entry = entries.get(share.endpoint) ?? { sums: { ...NO_LOAD }, tellings: 0 };
      addLoad(entry.sums, isNear ? share : { ...share, answers: 0, failures: 0 }, sign);
      entry.tellings += sign;
      // Dropped rather than left at zero: sums of fractions would keep a rest.
      if (entry.tellings > 0) entries.set(share.endpoint, entry);
      else entries.delete(share.endpoint);
    }
  }

  function removeTelling(source: string): void {
    const known = tellings.get(source);
    if (known === undefined) return;
    tellings.delete(source);
    addTelling(known, -1);
  }

  return {
    set(source, shares, isNear, nowMs) {
      removeTelling(source);
      const telling: Telling = { shares, isNear, toldMs: nowMs };
      tellings.set(source, telling);
      addTelling(telling, 1);
    },
    clear() {
      tellings.clear();
      entries.clear();
    },
    advance(nowMs, ageMaxMs) {
      for (const [source, { toldMs }] of tellings) {
        if (nowMs - toldMs > ageMaxMs) removeTelling(source);
      }
    },
    get: (endpoint) => entries.get(endpoint)?.sums ?? NO_LOAD,
    list: () => [...entries].map(([endpoint, { sums }]) => ({ endpoint, ...sums })),
    listOf: (source) => tellings.get(source)?.shares ?? [],
  };
}
