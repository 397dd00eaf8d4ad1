/**
 * The software versions that endpoints of each pool had lately, by this instance's view of the registry.
 * Performs no I/O.
 */
import type { RegisteredEndpoint } from '../types/traffic.js';
import { buildBinding } from './stream-binding.js';
import type { PoolKey, StreamBinding, VersionKey } from './stream-binding.js';

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

/** When each version of a pool was last registered. */
type LastRegistered = Map<VersionKey, number>;

/** The only version of a pool before the view became continuous. */
interface EarlierVersion {
  readonly version: VersionKey;
  readonly sinceMs: number;
}

export function createPoolVersions(): PoolVersions {
  const pools = new Map<PoolKey, LastRegistered>();
  const earlier = new Map<PoolKey, EarlierVersion>();
  let continuousSinceMs: number | undefined;

  function getVersions(pool: PoolKey): LastRegistered {
    const versions: LastRegistered = pools.get(pool) ?? new Map();
    pools.set(pool, versions);
    return versions;
  }

  return {
    record(endpoints, isContinuous, nowMs) {
      if (!isContinuous) {
        continuousSinceMs = undefined;
        earlier.clear();
      } else continuousSinceMs ??= nowMs;
      for (const endpoint of endpoints) {
        const { pool, version } = buildBinding(endpoint);
        getVersions(pool).set(version, nowMs);
      }
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
      const versions = getVersions(pool);
      for (const [version, registeredMs] of versions)
        if (nowMs - registeredMs > lifeMs) versions.delete(version);
      const [first, second] = [...versions.keys()];
      return second === undefined ? first : undefined;
    },
  };
}
