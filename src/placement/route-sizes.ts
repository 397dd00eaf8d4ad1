/** Tracks the mean prompt size, answer size and run time of each route, by pool. */
import type { Route } from '../types/traffic.js';
import { createMovingAverage } from '../utils/moving-average.js';
import type { MovingAverage } from '../utils/moving-average.js';

/** Weight of the newest call in the moving averages. */
const SIZE_ALPHA = 0.02;

export interface RouteSizes {
  /** Records the prompt tokens that an engine reads for a call. */
  recordTokens(route: Route, pool: string, tokens: number): void;
  /** Records the number of events in a complete answer. */
  recordEvents(route: Route, pool: string, events: number): void;
  /** Records the time from sending a call to the end of its answer, in milliseconds. */
  recordRun(route: Route, pool: string, ms: number): void;
  /** Mean of the recorded values; 0 while unknown. */
  getMeanTokens(route: Route, pool: string): number;
  getMeanEvents(route: Route, pool: string): number;
  getMeanRunMs(route: Route, pool: string): number;
}

interface Sizes {
  readonly tokens: MovingAverage;
  readonly events: MovingAverage;
  readonly runMs: MovingAverage;
}

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
      runMs: createMovingAverage(SIZE_ALPHA),
    };
    sizes.set(name, added);
    return added;
  }

  return {
    recordTokens: (route, pool, tokens) => getSizes(route, pool).tokens.add(tokens),
    recordEvents: (route, pool, events) => getSizes(route, pool).events.add(events),
    recordRun: (route, pool, ms) => getSizes(route, pool).runMs.add(ms),
    getMeanTokens: (route, pool) => getSizes(route, pool).tokens.get(0),
    getMeanEvents: (route, pool) => getSizes(route, pool).events.get(0),
    getMeanRunMs: (route, pool) => getSizes(route, pool).runMs.get(0),
  };
}
