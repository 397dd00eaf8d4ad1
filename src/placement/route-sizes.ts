/** Learns how large the prompts of each route are, by pool, free of I/O. */
import type { Route } from '../types/traffic.js';
import { createMovingAverage } from '../utils/moving-average.js';
import type { MovingAverage } from '../utils/moving-average.js';

/** Weight of the newest prompt in a route's mean: some fifty are in force. */
const SIZE_ALPHA = 0.02;

/** Sizes of routes' prompts. */
export interface RouteSizes {
  /** A call of the route makes an engine read this many tokens. */
  record(route: Route, pool: string, tokens: number): void;
  /** The mean of what was recorded; 0 while unknown. */
  getMeanTokens(route: Route, pool: string): number;
  /** The shortest target among the routes whose prompts the pool was sent, in milliseconds. */
  findShortestTarget(pool: string): number | undefined;
}

interface RouteSize {
  readonly route: Route;
  readonly tokens: MovingAverage;
}

/** Builds sizes of which nothing is known. */
export function createRouteSizes(): RouteSizes {
  const sizesOfPool = new Map<string, Map<string, RouteSize>>();
  return {
    record(route, pool, tokens) {
      const sizes = sizesOfPool.get(pool) ?? new Map<string, RouteSize>();
      sizesOfPool.set(pool, sizes);
      const mean = sizes.get(route.name)?.tokens ?? createMovingAverage(SIZE_ALPHA);
      mean.add(tokens);
      sizes.set(route.name, { route, tokens: mean });
    },
    getMeanTokens: (route, pool) => sizesOfPool.get(pool)?.get(route.name)?.tokens.get(0) ?? 0,
    findShortestTarget(pool) {
      const targets = [...(sizesOfPool.get(pool)?.values() ?? [])].map(
        ({ route }) => route.targetMs,
      );
      return targets.length === 0 ? undefined : Math.min(...targets);
    },
  };
}
