/**
 * Limits the calls that endpoints get after they were registered or failed, until they have shown that
 * they answer like the others of their pool. Performs no I/O.
 */
import type { EndpointLoads } from '../placement/endpoint-loads.js';
import type { PrefillSums } from '../placement/prefill-slowdown.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { STEP_MS, buildSettledPace, computeNextPace } from './compute-next-pace.js';
import { computeNextSpread, computeOwnLimit } from './compute-own-limit.js';
import { PACE_STATE, computeInitialLimit } from './pace.js';
import type { LimitedPace, Pace, PaceState } from './pace.js';
import { readPace, readReference } from './pace-reading.js';
import type { PaceLoads } from './pace-reading.js';

/** Interval at which settled endpoints are checked and shares follow changes of the fleet. */
const REFRESH_MS = 500;
/**
 * An endpoint settled for so long carries its part of the load. A pool without one is starting as a
 * whole, and its endpoints get no limits; entries of a starting fleet arrive within this time.
 */
const ESTABLISHED_MS = 10_000;
/** Prefixes that are kept for an endpoint with a limit; further ones count as not cached. */
const PREFIXES_MAX = 64;

export interface PaceChange {
  readonly endpoint: RegisteredEndpoint;
  readonly from: PaceState | 'none';
  readonly pace: Pace;
}

export interface EndpointPaceObserver {
  onChanged(change: PaceChange): void;
  /** The pace could not be computed; from now on no endpoint has a limit. */
  onFailed(reason: string): void;
}

export interface EndpointPaceOptions {
  readonly self: string;
  readonly getNow: () => number;
  /** Names of the live instances, including this one. */
  readonly listAlive: () => readonly string[];
  readonly loads: PaceLoads & Pick<EndpointLoads, 'get' | 'countOwn'>;
  readonly observer: EndpointPaceObserver;
  /** If false, no endpoint ever has a limit. */
  readonly isEnabled: boolean;
}

/** The pace of an endpoint, as shown to operators. */
export interface KnownPace {
  readonly endpoint: string;
  readonly pool: string;
  readonly state: PaceState;
  /** Running calls of all instances; undefined without a limit. */
  readonly limit: number | undefined;
  /** Running calls of this instance; undefined without a limit. */
  readonly ownLimit: number | undefined;
  readonly sinceMs: number;
}

export interface EndpointPace {
  /** An endpoint was registered; `isFirstList`: it was among the first that this instance heard of. */
  add(endpoint: RegisteredEndpoint, isFirstList: boolean): void;
  remove(startId: string): void;
  /** Whether the endpoint may get another call; one without room is used only if there is no other. */
  hasRoom(endpoint: RegisteredEndpoint): boolean;
  /**
   * Whether the engine may still have to read a shared prefix that it would have cached if it had run
   * for longer: this instance has not sent it there before. Records that it does now.
   */
  takeColdPrefix(endpoint: RegisteredEndpoint, prefix: string): boolean;
  advance(): void;
  list(): readonly KnownPace[];
}

/** What endpoints of a pool are compared with. */
interface PoolView {
  /** Share of the endpoints that have a limit. */
  readonly unsettledShare: number;
  /** Prompts that the endpoints without a limit read. */
  readonly reference: PrefillSums;
}

/** Of a settled endpoint only the failures count. */
const SETTLED_VIEW: PoolView = { unsettledShare: 0, reference: { readTokens: 0, readMs: 0 } };

interface Entry {
  readonly endpoint: RegisteredEndpoint;
  pace: Pace;
  sinceMs: number;
  failuresLow: number;
}

/** What is kept in addition while an endpoint has a limit. */
interface Limited {
  readonly entry: Entry;
  limit: number;
  ownLimit: number;
  refreshMs: number;
  /** Multiple of the limit that is divided among the instances. */
  spread: number;
  spreadMs: number;
  /** Instances known when the limit began. */
  readonly instances: readonly string[];
  readonly prefixes: Set<string>;
}

export function createEndpointPace(options: EndpointPaceOptions): EndpointPace {
  const { self, getNow, loads, observer } = options;
  let { isEnabled } = options;
  const entries = new Map<string, Entry>();
  /** By start id. Empty most of the time, so that a placement costs one lookup. */
  const limited = new Map<string, Limited>();
  let refreshedMs = -Infinity;

  function isEstablished({ pace }: Entry, nowMs: number): boolean {
    return pace.kind === PACE_STATE.Settled && nowMs - pace.sinceMs >= ESTABLISHED_MS;
  }

  /** Endpoints of a pool, whatever their pace. */
  function listPool(pool: string): readonly Entry[] {
    return [...entries.values()].filter(({ endpoint }) => endpoint.pool === pool);
  }

  function buildView(pool: string, nowMs: number): PoolView {
    const members = listPool(pool);
    const settled = members.filter(({ pace }) => pace.kind === PACE_STATE.Settled);
    return {
      unsettledShare: 1 - settled.length / Math.max(1, members.length),
      reference: readReference(
        loads,
        settled.map(({ endpoint }) => endpoint),
        nowMs,
      ),
    };
  }

  function updateLimit(entry: Entry, pace: LimitedPace, nowMs: number): void {
    const { startId } = entry.endpoint;
    const alive = options.listAlive();
    const known = limited.get(startId) ?? {
      entry,
      limit: 0,
      ownLimit: 0,
      refreshMs: -Infinity,
      spread: 1,
      spreadMs: nowMs,
      instances: alive,
      prefixes: new Set(),
    };
    limited.set(startId, known);
    if (known.limit === pace.limit && nowMs - known.refreshMs < REFRESH_MS) return;
    // Guards against an instance that is cut off and would take itself for the only one.
    const instances = alive.length >= known.instances.length ? alive : known.instances;
    known.limit = pace.limit;
    known.refreshMs = nowMs;
    known.ownLimit = computeOwnLimit({
      start: startId,
      limit: pace.limit,
      spread: known.spread,
      instances,
      self,
    });
  }

  /** Follows how much of the limit is used. */
  function updateSpread({ endpoint, pace }: Entry, running: number, nowMs: number): void {
    const known = limited.get(endpoint.startId);
    if (known === undefined || pace.kind === PACE_STATE.Settled) return;
    if (nowMs - known.spreadMs < STEP_MS) return;
    const instances = Math.max(known.instances.length, options.listAlive().length);
    const spread = computeNextSpread({
      spread: known.spread,
      limit: pace.limit,
      running,
      instances,
    });
    known.spreadMs = nowMs;
    if (spread === known.spread) return;
    known.spread = spread;
    known.refreshMs = -Infinity;
  }

  function setPace(entry: Entry, pace: Pace, nowMs: number): void {
    const from = entry.pace.kind;
    entry.pace = pace;
    if (pace.kind === PACE_STATE.Settled) limited.delete(entry.endpoint.startId);
    else updateLimit(entry, pace, nowMs);
    if (pace.kind === from) return;
    entry.sinceMs = nowMs;
    observer.onChanged({ endpoint: entry.endpoint, from, pace });
  }

  function addLimited(entry: Entry, others: readonly Entry[], nowMs: number): void {
    const unsettled = others.filter(({ pace }) => pace.kind !== PACE_STATE.Settled).length;
    const unsettledShare = (unsettled + 1) / (others.length + 1);
    const pace: Pace = {
      kind: PACE_STATE.New,
      limit: computeInitialLimit(entry.endpoint.slots, unsettledShare),
      steppedMs: nowMs,
      failedMs: nowMs,
      ownSlowdown: 1,
    };
    entry.pace = pace;
    updateLimit(entry, pace, nowMs);
    observer.onChanged({ endpoint: entry.endpoint, from: 'none', pace });
  }

  function advanceEntry(entry: Entry, view: PoolView, nowMs: number): void {
    const { endpoint, pace, failuresLow } = entry;
    const reading = readPace(loads, endpoint, view.reference, nowMs);
    const next = computeNextPace(pace, {
      reading,
      slots: endpoint.slots,
      initialLimit: computeInitialLimit(endpoint.slots, view.unsettledShare),
      failuresLow,
      nowMs,
    });
    const hasFallenBack = next !== pace && next.kind === PACE_STATE.FallingBack;
    entry.failuresLow = hasFallenBack ? reading.failures : Math.min(failuresLow, reading.failures);
    updateSpread(entry, reading.running, nowMs);
    setPace(entry, next, nowMs);
  }

  /** Ends the limits of pools in which no endpoint carries the load meanwhile. */
  function releaseStartingPools(pools: ReadonlySet<string>, nowMs: number): void {
    for (const pool of pools) {
      const members = listPool(pool);
      if (!members.some((entry) => isEstablished(entry, nowMs))) {
        for (const entry of members)
          if (entry.pace.kind !== PACE_STATE.Settled)
            setPace(entry, buildSettledPace(nowMs), nowMs);
      }
    }
  }

  function countEstablished(nowMs: number): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const entry of entries.values()) {
      const { pool } = entry.endpoint;
      if (isEstablished(entry, nowMs)) counts.set(pool, (counts.get(pool) ?? 0) + 1);
    }
    return counts;
  }

  function advanceAll(nowMs: number): void {
    const pools = new Set([...limited.values()].map(({ entry }) => entry.endpoint.pool));
    const views = new Map([...pools].map((pool) => [pool, buildView(pool, nowMs)]));
    for (const { entry } of [...limited.values()])
      advanceEntry(entry, views.get(entry.endpoint.pool) ?? SETTLED_VIEW, nowMs);
    if (nowMs - refreshedMs < REFRESH_MS) return;
    refreshedMs = nowMs;
    const established = countEstablished(nowMs);
    for (const entry of entries.values()) {
      const others =
        (established.get(entry.endpoint.pool) ?? 0) - (isEstablished(entry, nowMs) ? 1 : 0);
      // A limit helps only where others of the pool take the calls over.
      if (entry.pace.kind === PACE_STATE.Settled && others > 0)
        advanceEntry(entry, SETTLED_VIEW, nowMs);
    }
    releaseStartingPools(pools, nowMs);
  }

  /** Runs a step; after an error no endpoint has a limit, so that calls are placed without this part. */
  function runGuarded(step: () => void): void {
    if (!isEnabled) return;
    try {
      step();
    } catch (error) {
      isEnabled = false;
      entries.clear();
      limited.clear();
      observer.onFailed(String(error));
    }
  }

  return {
    add: (endpoint, isFirstList) =>
      runGuarded(() => {
        const nowMs = getNow();
        const pool = listPool(endpoint.pool);
        const isStarting = isFirstList || !pool.some((entry) => isEstablished(entry, nowMs));
        const pace = buildSettledPace(isFirstList ? -Infinity : nowMs);
        const entry: Entry = { endpoint, pace, sinceMs: nowMs, failuresLow: Infinity };
        entries.set(endpoint.startId, entry);
        if (!isStarting) addLimited(entry, pool, nowMs);
        else if (limited.size > 0) releaseStartingPools(new Set([endpoint.pool]), nowMs);
      }),
    remove(startId) {
      entries.delete(startId);
      limited.delete(startId);
    },
    hasRoom({ startId }) {
      const known = limited.get(startId);
      if (known === undefined) return true;
      return loads.countOwn(startId) < known.ownLimit && loads.get(startId).running < known.limit;
    },
    takeColdPrefix({ startId }, prefix) {
      const prefixes = limited.get(startId)?.prefixes;
      if (prefixes === undefined || prefixes.has(prefix)) return false;
      if (prefixes.size < PREFIXES_MAX) prefixes.add(prefix);
      return true;
    },
    advance: () => runGuarded(() => advanceAll(getNow())),
    list: () =>
      [...entries.values()].map(({ endpoint, pace, sinceMs }) => ({
        endpoint: endpoint.id,
        pool: endpoint.pool,
        state: pace.kind,
        limit: pace.kind === PACE_STATE.Settled ? undefined : pace.limit,
        ownLimit: limited.get(endpoint.startId)?.ownLimit,
        sinceMs,
      })),
  };
}
