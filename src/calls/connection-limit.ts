/** Limits the connections of an instance to one endpoint. */
import type { TrafficPool } from '../types/traffic.js';

/** Limit if the pool is unknown. */
const DEFAULT_CONNECTIONS_MAX = 64;
/** Fraction of an endpoint's connections that is divided among the instances; the rest is a reserve, since some instances get more than their share of calls. */
const FLEET_CONNECTIONS_FRACTION = 0.8;

/** Returns the largest number of connections to one endpoint of a pool. */
export function computeConnectionsMax(pool: TrafficPool | undefined, instances: number): number {
  if (pool === undefined) return DEFAULT_CONNECTIONS_MAX;
  return Math.max(1, Math.floor((pool.connectionsMax * FLEET_CONNECTIONS_FRACTION) / instances));
}
