/** Finds the route of a call, the organisation of a key and the pool among a route's weights. */
import type {
  CallingOrganisation,
  Route,
  TrafficConfiguration,
  TrafficPool,
} from '../types/traffic.js';
import { hashName } from '../utils/hash.js';
import { createRouteStandings } from './route-standing.js';
import type { RouteStanding } from './route-standing.js';
import { createUrgencyRanks } from './urgency.js';

/** One version of the configuration, indexed. */
export interface RouteTable {
  readonly version: number;
  /** Whether callers have to name their organisation at all. */
  readonly hasOrganisations: boolean;
  /** The route with the longest prefix that begins the path. */
  findRoute(host: string, path: string): Route | undefined;
  findOrganisation(key: string): CallingOrganisation | undefined;
  findPool(name: string): TrafficPool | undefined;
  /** Where a route stands among those whose streams come from the same pool. */
  getStanding(route: Route, pool: string): RouteStanding;
  /** 0, the most urgent, to 9. */
  computeUrgency(route: Route, organisation: CallingOrganisation | undefined): number;
}

/** Indexes a configuration. */
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
  const urgency = createUrgencyRanks(configuration);
  const pools = new Map(configuration.pools.map((pool) => [pool.name, pool]));
  const standings = createRouteStandings(configuration.routes);
  return {
    version: configuration.version,
    hasOrganisations: configuration.organisations.length > 0,
    findRoute: (host, path) =>
      routesOfHost.get(host)?.find((route) => path.startsWith(route.pathPrefix)),
    findOrganisation: (key) => organisationOfKey.get(key),
    findPool: (name) => pools.get(name),
    getStanding: (route, pool) => standings.get(route, pool),
    computeUrgency: (route, organisation) => urgency.compute(route, organisation),
  };
}

/** Picks a pool by weight; the same call id always falls on the same pool. */
export function choosePool(route: Route, callId: string): string | undefined {
  const total = route.pools.reduce((sum, { weight }) => sum + weight, 0);
  let offset = (hashName(`${route.name}|${callId}`) / 2 ** 32) * total;
  for (const { pool, weight } of route.pools) {
    offset -= weight;
    if (offset < 0) return pool;
  }
  return route.pools.at(-1)?.pool;
}
