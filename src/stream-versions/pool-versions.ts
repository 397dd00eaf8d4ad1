/**
 * The software versions that endpoints of each pool had lately, by this instance's view of the registry.
 * Performs no I/O.
 */
import type { RegisteredEndpoint } from '../types/traffic.js';
import { buildBinding } from './stream-binding.js';
import type { PoolKey, VersionKey } from './stream-binding.js';

export interface PoolVersions {
  /** Records the registered endpoints; `isConfirmed`: the view was lately confirmed as the newest. */
  record(endpoints: readonly RegisteredEndpoint[], isConfirmed: boolean, nowMs: number): void;
  /**
   * Returns the version that every endpoint of the pool had during the last `lifeMs`; undefined if
   * there were several, or if the view was not confirmed for that long.
   */
  findOnly(pool: PoolKey, lifeMs: number, nowMs: number): VersionKey | undefined;
}

/** When each version of a pool was last registered. */
type LastRegistered = Map<VersionKey, number>;

export function createPoolVersions(): PoolVersions {
  const pools = new Map<PoolKey, LastRegistered>();
  /** Since when the view has been confirmed without a gap. */
  let confirmedSinceMs: number | undefined;

  return {
    record(endpoints, isConfirmed, nowMs) {
      if (!isConfirmed) confirmedSinceMs = undefined;
      else confirmedSinceMs ??= nowMs;
      for (const endpoint of endpoints) {
        const { pool, version } = buildBinding(endpoint);
        const versions: LastRegistered = pools.get(pool) ?? new Map();
        pools.set(pool, versions.set(version, nowMs));
      }
    },
    findOnly(pool, lifeMs, nowMs) {
      if (confirmedSinceMs === undefined || nowMs - confirmedSinceMs < lifeMs) return undefined;
      const versions = pools.get(pool) ?? new Map();
      for (const [version, registeredMs] of versions)
        if (nowMs - registeredMs > lifeMs) versions.delete(version);
      const [first, second] = [...versions.keys()];
      return second === undefined ? first : undefined;
    },
  };
}
