/**
 * The software versions that endpoints of each pool had lately, by this instance's view of the registry.
 * Performs no I/O.
 */
import type { RegisteredEndpoint } from '../types/traffic.js';
import { buildBinding } from './stream-binding.js';
import type { PoolKey, VersionKey } from './stream-binding.js';

export interface PoolVersions {
  /** Records the registered endpoints; `isContinuous`: no version can have come and gone unseen. */
  record(endpoints: readonly RegisteredEndpoint[], isContinuous: boolean, nowMs: number): void;
  /**
   * Returns the version that every endpoint of the pool had during the last `lifeMs`; undefined if
   * there were several, or if the view has not been continuous for that long.
   */
  findOnly(pool: PoolKey, lifeMs: number, nowMs: number): VersionKey | undefined;
}

/** When each version of a pool was last registered. */
type LastRegistered = Map<VersionKey, number>;

export function createPoolVersions(): PoolVersions {
  const pools = new Map<PoolKey, LastRegistered>();
  let continuousSinceMs: number | undefined;

  return {
    record(endpoints, isContinuous, nowMs) {
      if (!isContinuous) continuousSinceMs = undefined;
      else continuousSinceMs ??= nowMs;
      for (const endpoint of endpoints) {
        const { pool, version } = buildBinding(endpoint);
        const versions: LastRegistered = pools.get(pool) ?? new Map();
        pools.set(pool, versions.set(version, nowMs));
      }
    },
    findOnly(pool, lifeMs, nowMs) {
      if (continuousSinceMs === undefined || nowMs - continuousSinceMs < lifeMs) return undefined;
      const versions = pools.get(pool) ?? new Map();
      for (const [version, registeredMs] of versions)
        if (nowMs - registeredMs > lifeMs) versions.delete(version);
      const [first, second] = [...versions.keys()];
      return second === undefined ? first : undefined;
    },
  };
}
