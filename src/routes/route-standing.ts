/** Where each route stands among the routes whose streams come from the same pool. */
import type { Route } from '../types/traffic.js';

/** The place of one route at one pool. */
export interface RouteStanding {
  /** Distinct priorities that are more urgent; 0 for the most urgent. */
  readonly rank: number;
  /** Distinct priorities there are. */
  readonly ranks: number;
  /** The shortest pause that a more urgent route declares, in milliseconds; infinite where none does. */
  readonly urgentPauseMs: number;
  /** The same without the most urgent routes: what counts at engines that these keep away from. */
  readonly nextPauseMs: number;
}

/** Places of all routes of one configuration. */
export interface RouteStandings {
  get(route: Route, pool: string): RouteStanding;
}

/** The most urgent: nothing is known that goes before. */
export const FIRST_STANDING: RouteStanding = {
  rank: 0,
  ranks: 1,
  urgentPauseMs: Infinity,
  nextPauseMs: Infinity,
};

function countDistinctPriorities(routes: readonly Route[]): number {
  return new Set(routes.map(({ priority }) => priority)).size;
}

function computeShortestPauseMs(routes: readonly Route[]): number {
  return Math.min(...routes.map(({ gapTargetMs }) => gapTargetMs ?? Infinity));
}

function computeStanding(route: Route, routes: readonly Route[]): RouteStanding {
  const moreUrgent = routes.filter(({ priority }) => priority < route.priority);
  const mostUrgent = Math.min(...routes.map(({ priority }) => priority));
  return {
    rank: countDistinctPriorities(moreUrgent),
    ranks: Math.max(1, countDistinctPriorities(routes)),
    urgentPauseMs: computeShortestPauseMs(moreUrgent),
    nextPauseMs: computeShortestPauseMs(moreUrgent.filter(({ priority }) => priority > mostUrgent)),
  };
}

/** Computes places as they are asked for: calls that wait ask forty times a second, configurations have hundreds of routes. */
export function createRouteStandings(routes: readonly Route[]): RouteStandings {
  const streamsOfPool = new Map<string, Route[]>();
  for (const route of routes) {
    // Routes without declared pauses have no streams that others could slow down.
    const pools = route.gapTargetMs === undefined ? [] : route.pools;
    for (const { pool } of pools) {
      const streams = streamsOfPool.get(pool) ?? [];
      streams.push(route);
      streamsOfPool.set(pool, streams);
    }
  }
  const ranksOfPool = new Map<string, WeakMap<Route, RouteStanding>>();

  return {
    get(route, pool) {
      const poolRanks = ranksOfPool.get(pool) ?? new WeakMap<Route, RouteStanding>();
      ranksOfPool.set(pool, poolRanks);
      const standing =
        poolRanks.get(route) ?? computeStanding(route, streamsOfPool.get(pool) ?? []);
      poolRanks.set(route, standing);
      return standing;
    },
  };
}
