/**
 * The software versions that endpoints of each pool had lately, by this instance's view of the registry.
 * A version counts as registered until its removal is known, however late that is.
 * Performs no I/O.
 */
import type { RegisteredEndpoint } from '../types/traffic.js';
import { buildBinding } from './stream-binding.js';
import type { PoolKey, StreamBinding, VersionKey } from './stream-binding.js';

/** Time for which a version is remembered; longer than any life of streams. */
const VERSIONS_KEPT_MS = 600_000;

export interface PoolVersions {
  /** Records the registered endpoints; `isContinuous`: no version can have come and gone unseen. */
  record(endpoints: readonly RegisteredEndpoint[], isContinuous: boolean, nowMs: number): void;
  /**
   * Records that a pool had no other version from a time on until a look at the registry at
   * `checkedMs`; without effect if the view has not been continuous since then.
   */
  recordEarlier(binding: StreamBinding, sinceMs: number, checkedMs: number): void;
  /**
   * Returns the version that every endpoint of the pool had during the last `lifeMs`; undefined if
   * there were several, or if that is not known for as long.
   */
  findOnly(pool: PoolKey, lifeMs: number, nowMs: number): VersionKey | undefined;
}

type VersionsByPool = ReadonlyMap<PoolKey, ReadonlySet<VersionKey>>;

/** When each version of a pool was last registered. */
type LastRegistered = Map<VersionKey, number>;

/** The only version of a pool before the view became continuous. */
interface EarlierVersion {
  readonly version: VersionKey;
  readonly sinceMs: number;
}

function listVersions(endpoints: readonly RegisteredEndpoint[]): VersionsByPool {
  const found = new Map<PoolKey, Set<VersionKey>>();
  for (const endpoint of endpoints) {
    const { pool, version } = buildBinding(endpoint);
    const versions = found.get(pool) ?? new Set();
    found.set(pool, versions.add(version));
  }
  return found;
}

export function createPoolVersions(): PoolVersions {
  const pools = new Map<PoolKey, LastRegistered>();
  const earlier = new Map<PoolKey, EarlierVersion>();
  let registered: VersionsByPool = new Map();
  let continuousSinceMs: number | undefined;

  function getVersions(pool: PoolKey): LastRegistered {
    const versions: LastRegistered = pools.get(pool) ?? new Map();
    pools.set(pool, versions);
    return versions;
  }

  function recordVersions(seen: VersionsByPool, nowMs: number): void {
    for (const [pool, versions] of seen)
      for (const version of versions) getVersions(pool).set(version, nowMs);
  }

  function removeOld(nowMs: number): void {
    for (const versions of pools.values())
      for (const [version, registeredMs] of versions)
        if (nowMs - registeredMs > VERSIONS_KEPT_MS) versions.delete(version);
  }

  function hasLately(pool: PoolKey, version: VersionKey, sinceMs: number): boolean {
    const isRegistered = registered.get(pool)?.has(version) === true;
    return isRegistered || (pools.get(pool)?.get(version) ?? -Infinity) >= sinceMs;
  }

  return {
    record(endpoints, isContinuous, nowMs) {
      if (!isContinuous) {
        continuousSinceMs = undefined;
        earlier.clear();
      } else continuousSinceMs ??= nowMs;
      // Those that left since the last record were registered until now, as far as is known.
      recordVersions(registered, nowMs);
      registered = listVersions(endpoints);
      recordVersions(registered, nowMs);
      removeOld(nowMs);
    },
    recordEarlier({ pool, version }, sinceMs, checkedMs) {
      if (continuousSinceMs === undefined || continuousSinceMs > checkedMs) return;
      earlier.set(pool, { version, sinceMs });
      const versions = getVersions(pool);
      versions.set(version, Math.max(continuousSinceMs, versions.get(version) ?? 0));
    },
    findOnly(pool, lifeMs, nowMs) {
      if (continuousSinceMs === undefined) return undefined;
      const sinceMs = Math.min(continuousSinceMs, earlier.get(pool)?.sinceMs ?? Infinity);
      if (nowMs - sinceMs < lifeMs) return undefined;
      const known = [...getVersions(pool).keys()];
      const [first, second] = known.filter((version) => hasLately(pool, version, nowMs - lifeMs));
      return second === undefined ? first : undefined;
    },
  };
}
