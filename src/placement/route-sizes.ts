/** Learns how large the prompts and answers of each route are, by pool, free of I/O. */
import type { Route } from '../types/traffic.js';
import { createMovingAverage } from '../utils/moving-average.js';
import type { MovingAverage } from '../utils/moving-average.js';

/** Weight of the newest call in a route's means: some fifty are in force. */
const SIZE_ALPHA = 0.02;

/** Sizes of routes' prompts and answers. */
export interface RouteSizes {
  /** A call of the route makes an engine read this many tokens. */
  recordTokens(route: Route, pool: string, tokens: number): void;
  /** The whole answer to a call of the route had this many events. */
  recordEvents(route: Route, pool: string, events: number): void;
  /** The mean of what was recorded; 0 while unknown. */
  getMeanTokens(route: Route, pool: string): number;
  getMeanEvents(route: Route, pool: string): number;
}

interface Sizes {
  readonly tokens: MovingAverage;
  readonly events: MovingAverage;
}

/** Builds sizes of which nothing is known. */
export function createRouteSizes(): RouteSizes {
  const sizesOfPool = new Map<string, Map<string, Sizes>>();

  function getSizes({ name }: Route, pool: string): Sizes {
    const sizes = sizesOfPool.get(pool) ?? new Map<string, Sizes>();
    sizesOfPool.set(pool, sizes);
    const known = sizes.get(name);
    if (known !== undefined) return known;
    const added: Sizes = {
      tokens: createMovingAverage(SIZE_ALPHA),
      events: createMovingAverage(SIZE_ALPHA),
    };
    sizes.set(name, added);
    return added;
  }

  return {
    recordTokens: (route, pool, tokens) => getSizes(route, pool).tokens.add(tokens),
    recordEvents: (route, pool, events) => getSizes(route, pool).events.add(events),
    getMeanTokens: (route, pool) => getSizes(route, pool).tokens.get(0),
    getMeanEvents: (route, pool) => getSizes(route, pool).events.get(0),
  };
}
