/** Places endpoints in shards, and shards on owners. */
import type { Declarations, EndpointDeclaration } from '../types/declarations.js';
import { chooseRendezvous } from '../utils/hash.js';
import type { ShardRoute } from './ticket-desk.js';

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
  readonly dataCentre: string;
  readonly owner: string;
  readonly endpoints: readonly EndpointDeclaration[];
}

function chooseOwner(shard: string, dataCentre: string, live: readonly LiveEntry[]): string {
  const local = live.filter((entry) => entry.dataCentre === dataCentre);
  // A data centre without a live entry still has endpoints: any other entry may answer for them.
  const names = (local.length > 0 ? local : live).map((entry) => entry.name);
  return chooseRendezvous(shard, names, 1)[0] ?? '';
}

/** Every shard of a configuration with its owner among the live entries. */
export function buildShards(declarations: Declarations, live: readonly LiveEntry[]): Shard[] {
  const shards: Shard[] = [];
  for (const pool of declarations.pools.values()) {
    const dataCentres = [...new Set(pool.endpoints.map((endpoint) => endpoint.dataCentre))].sort();
    for (const dataCentre of dataCentres) {
      const endpoints = pool.endpoints
        .filter((endpoint) => endpoint.dataCentre === dataCentre)
        .sort((a, b) => (a.name < b.name ? -1 : 1));
      for (let start = 0; start < endpoints.length; start += ENDPOINTS_PER_SHARD) {
        const name = `${pool.name}/${dataCentre}/${start / ENDPOINTS_PER_SHARD}`;
        shards.push({
          name,
          pool: pool.name,
          dataCentre,
          owner: chooseOwner(name, dataCentre, live),
          endpoints: endpoints.slice(start, start + ENDPOINTS_PER_SHARD),
        });
      }
    }
  }
  return shards;
}

/** The shards of each pool as one data centre's entries see them. */
export function buildRoutes(
  shards: readonly Shard[],
  dataCentre: string,
): ReadonlyMap<string, readonly ShardRoute[]> {
  const routes = new Map<string, ShardRoute[]>();
  for (const shard of shards) {
    const route = {
      shard: shard.name,
      owner: shard.owner,
      isLocal: shard.dataCentre === dataCentre,
    };
    routes.set(shard.pool, [...(routes.get(shard.pool) ?? []), route]);
  }
  return routes;
}
