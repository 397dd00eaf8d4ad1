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
}

/** Builds sizes of which nothing is known. */
export function createRouteSizes(): RouteSizes {
  const sizesOfPool = new Map<string, Map<string, MovingAverage>>();
  return {
    record(route, pool, tokens) {
      const sizes = sizesOfPool.get(pool) ?? new Map<string, MovingAverage>();
      sizesOfPool.set(pool, sizes);
      const mean = sizes.get(route.name) ?? createMovingAverage(SIZE_ALPHA);
      mean.add(tokens);
      sizes.set(route.name, mean);
    },
    getMeanTokens: (route, pool) => sizesOfPool.get(pool)?.get(route.name)?.get(0) ?? 0,
  };
}
