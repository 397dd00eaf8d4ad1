/** Looks up routes by host and path, organisations by key, and pools by weight. */
import type {
  CallingOrganisation,
  Route,
  TrafficConfiguration,
  TrafficPool,
} from '../types/traffic.js';
import { hashName } from '../utils/hash.js';
import { createRouteRanks } from './route-rank.js';
import type { RouteRank } from './route-rank.js';
import { createUrgencyRanks } from './urgency.js';

/** Index of one version of the configuration. */
export interface RouteTable {
  readonly version: number;
  /** Whether callers of the route need the key of an organisation. */
  requiresKey(route: Route): boolean;
  /** The route with the longest matching path prefix. */
  findRoute(host: string, path: string): Route | undefined;
  findOrganisation(key: string): CallingOrganisation | undefined;
  /** Whether an organisation of that name is declared. */
  hasOrganisation(name: string): boolean;
  findPool(name: string): TrafficPool | undefined;
  getRouteRank(route: Route, pool: string): RouteRank;
  /** From 0, the most urgent, to 9. */
  computeUrgency(route: Route, organisation: CallingOrganisation | undefined): number;
}

export function createRouteTable(configuration: TrafficConfiguration): RouteTable {
  const routesOfHost = new Map<string, Route[]>();
  for (const route of configuration.routes) {
    const routes = routesOfHost.get(route.host) ?? [];
    routes.push(route);
    routesOfHost.set(route.host, routes);
  }
  for (const routes of routesOfHost.values()) {
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  const organisationOfKey = new Map<string, CallingOrganisation>();
  for (const organisation of configuration.organisations) {
    for (const key of organisation.keys) organisationOfKey.set(key, organisation);
  }
  const organisationNames = new Set(configuration.organisations.map(({ name }) => name));
  const urgency = createUrgencyRanks(configuration);
  const pools = new Map(configuration.pools.map((pool) => [pool.name, pool]));
  const ranks = createRouteRanks(configuration.routes);
  return {
    version: configuration.version,
    requiresKey: ({ isPublic }) => configuration.requiresKeys && !isPublic,
    findRoute: (host, path) =>
      routesOfHost.get(host)?.find((route) => path.startsWith(route.pathPrefix)),
    findOrganisation: (key) => organisationOfKey.get(key),
    hasOrganisation: (name) => organisationNames.has(name),
    findPool: (name) => pools.get(name),
    getRouteRank: (route, pool) => ranks.get(route, pool),
    computeUrgency: (route, organisation) => urgency.compute(route, organisation),
  };
}

/**
 * Chooses a pool by weight; the same call id always maps to the same pool. Undefined if no pool has a
 * weight: one without gets no call.
 */
export function choosePool(route: Route, callId: string): string | undefined {
  const weighted = route.pools.filter(({ weight }) => weight > 0);
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  let offset = (hashName(`${route.name}|${callId}`) / 2 ** 32) * total;
  for (const { pool, weight } of weighted) {
    offset -= weight;
    if (offset < 0) return pool;
  }
  return weighted.at(-1)?.pool;
}
