/** How many connections to one endpoint an instance may have. */
import type { TrafficPool } from '../types/traffic.js';

/** Where the pool states no bound. */
const CONNECTIONS_UNSTATED = 64;
/** Part of an endpoint's connections that all instances take together: some have more than their share. */
const CONNECTIONS_SHARE = 0.8;

/** The most connections to one endpoint of a pool. */
export function computeConnectionsMax(pool: TrafficPool | undefined, instances: number): number {
  if (pool === undefined) return CONNECTIONS_UNSTATED;
  return Math.max(1, Math.floor((pool.connectionsMax * CONNECTIONS_SHARE) / instances));
}
