/** How many connections to one endpoint an instance may have. */
import type { TrafficPool } from '../types/traffic.js';

/** Where the pool states no bound. */
const DEFAULT_CONNECTIONS_MAX = 64;
/** Part of an endpoint's connections that all instances take together: some have more than their share. */
const FLEET_CONNECTIONS_FRACTION = 0.8;

/** The most connections to one endpoint of a pool. */
export function computeConnectionsMax(pool: TrafficPool | undefined, instances: number): number {
  if (pool === undefined) return DEFAULT_CONNECTIONS_MAX;
  return Math.max(1, Math.floor((pool.connectionsMax * FLEET_CONNECTIONS_FRACTION) / instances));
}
