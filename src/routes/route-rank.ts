/** Ranks routes by priority among the routes that stream from the same pool. */
import type { Route } from '../types/traffic.js';

/** Rank of one route at one pool. */
export interface RouteRank {
  /** Number of distinct priorities that are more urgent; 0 for the most urgent. */
  readonly rank: number;
  /** Number of distinct priorities. */
  readonly ranks: number;
  /** Shortest gap target of the more urgent routes, in milliseconds; infinite if there are none. */
  readonly urgentPauseMs: number;
  /** The same without the most urgent priority, for endpoints that do not serve it. */
  readonly nextPauseMs: number;
}

/** Ranks of all routes of one configuration. */
export interface RouteRanks {
  get(route: Route, pool: string): RouteRank;
}

/** Applies while no configuration is loaded. */
export const TOP_RANK: RouteRank = {
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

function computeRank(route: Route, routes: readonly Route[]): RouteRank {
  const moreUrgent = routes.filter(({ priority }) => priority < route.priority);
  const mostUrgent = Math.min(...routes.map(({ priority }) => priority));
  return {
    rank: countDistinctPriorities(moreUrgent),
    ranks: Math.max(1, countDistinctPriorities(routes)),
    urgentPauseMs: computeShortestPauseMs(moreUrgent),
    nextPauseMs: computeShortestPauseMs(moreUrgent.filter(({ priority }) => priority > mostUrgent)),
  };
}

/** Computes ranks on first use and caches them, since waiting calls read them repeatedly. */
export function createRouteRanks(routes: readonly Route[]): RouteRanks {
  const streamsOfPool = new Map<string, Route[]>();
  for (const route of routes) {
    // Routes without a gap target have no streams that other routes could slow down.
    const pools = route.gapTargetMs === undefined ? [] : route.pools;
    for (const { pool } of pools) {
      const streams = streamsOfPool.get(pool) ?? [];
      streams.push(route);
      streamsOfPool.set(pool, streams);
    }
  }
  const ranksOfPool = new Map<string, WeakMap<Route, RouteRank>>();

  return {
    get(route, pool) {
      const poolRanks = ranksOfPool.get(pool) ?? new WeakMap<Route, RouteRank>();
      ranksOfPool.set(pool, poolRanks);
      const rank = poolRanks.get(route) ?? computeRank(route, streamsOfPool.get(pool) ?? []);
      poolRanks.set(route, rank);
      return rank;
    },
  };
}
