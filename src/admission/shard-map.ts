/** Assigns endpoints to shards, and shards to owning instances. */
import type { Declarations, EndpointDeclaration } from '../types/declarations.js';
import { chooseRendezvous } from '../utils/hash.js';
import type { ShardRoute } from './ticket-client-messages.js';

export const ENDPOINTS_PER_SHARD = 32;

/** An instance that may own shards. */
export interface LiveInstance {
  readonly name: string;
  readonly dataCentre: string;
}

/** A group of endpoints of one pool, owned by one instance. */
export interface Shard {
  readonly name: string;
  readonly pool: string;
  readonly owner: string;
  readonly endpoints: readonly EndpointDeclaration[];
}

/**
 * Prefers live instances in the data centres of the shard's endpoints; falls back to any live
 * instance.
 */
function chooseOwner(
  shard: string,
  endpoints: readonly EndpointDeclaration[],
  live: readonly LiveInstance[],
): string {
  const dataCentres = new Set(endpoints.map((endpoint) => endpoint.dataCentre));
  const local = live.filter((instance) => dataCentres.has(instance.dataCentre));
  const names = (local.length > 0 ? local : live).map((instance) => instance.name);
  return chooseRendezvous(shard, names, 1)[0] ?? '';
}

function compareEndpoints(a: EndpointDeclaration, b: EndpointDeclaration): number {
  const left = `${a.dataCentre}|${a.name}`;
  const right = `${b.dataCentre}|${b.name}`;
  return left < right ? -1 : 1;
}

/**
 * Builds all shards of a configuration and assigns their owners. Shard names and endpoints depend on
 * the declarations only, so they are stable across membership changes. Endpoints are grouped by data
 * centre.
 */
export function buildShards(declarations: Declarations, live: readonly LiveInstance[]): Shard[] {
  const shards: Shard[] = [];
  for (const pool of declarations.pools.values()) {
    const ordered = [...pool.endpoints].sort(compareEndpoints);
    for (let start = 0; start < ordered.length; start += ENDPOINTS_PER_SHARD) {
      const name = `${pool.name}/${start / ENDPOINTS_PER_SHARD}`;
      const endpoints = ordered.slice(start, start + ENDPOINTS_PER_SHARD);
      shards.push({ name, pool: pool.name, owner: chooseOwner(name, endpoints, live), endpoints });
    }
  }
  return shards;
}

/** Groups shards by pool, for the ticket client. */
export function buildShardRoutes(
  shards: readonly Shard[],
): ReadonlyMap<string, readonly ShardRoute[]> {
  const routes = new Map<string, ShardRoute[]>();
  for (const shard of shards) {
    const route = { shard: shard.name, owner: shard.owner };
    const poolRoutes = routes.get(shard.pool);
    if (poolRoutes === undefined) routes.set(shard.pool, [route]);
    else poolRoutes.push(route);
  }
  return routes;
}
