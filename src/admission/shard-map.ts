/** Places endpoints in shards, and shards on owners. */
import type { Declarations, EndpointDeclaration } from '../types/declarations.js';
import { chooseRendezvous } from '../utils/hash.js';
import type { ShardRoute } from './desk-messages.js';

/** Endpoints in one shard at the most. */
export const ENDPOINTS_PER_SHARD = 32;

/** A live entry instance. */
export interface LiveEntry {
  readonly name: string;
  readonly dataCentre: string;
}

/** One shard and who answers for it. */
export interface Shard {
  readonly name: string;
  readonly pool: string;
  readonly owner: string;
  readonly endpoints: readonly EndpointDeclaration[];
}

/**
 * The owner of a shard: a live entry of a data centre that the shard has endpoints in, or any live
 * entry where those data centres have none.
 */
function chooseOwner(
  shard: string,
  endpoints: readonly EndpointDeclaration[],
  live: readonly LiveEntry[],
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
 * Every shard of a configuration with its owner among the live entries. Shards follow from the
 * declarations alone, so their names stay while entries come and go; endpoints of one data centre
 * stand together.
 */
export function buildShards(declarations: Declarations, live: readonly LiveEntry[]): Shard[] {
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

/** The shards of each pool, for a ticket desk. */
export function buildRoutes(shards: readonly Shard[]): ReadonlyMap<string, readonly ShardRoute[]> {
  const routes = new Map<string, ShardRoute[]>();
  for (const shard of shards) {
    const route = { shard: shard.name, owner: shard.owner };
    const poolRoutes = routes.get(shard.pool);
    if (poolRoutes === undefined) routes.set(shard.pool, [route]);
    else poolRoutes.push(route);
  }
  return routes;
}
