/**
 * Finds the engines of a pool that are lastingly slower than the others. Performs no I/O.
 *
 * Guards against slow engines that are home to as many shared prefixes as fast ones and read them without
 * a break. The time to read prompts varies from one to the next, and each change of the slow set moves
 * homes, so it follows a slow average with hysteresis. Averages are compared with the pool's median, since
 * instances differ in the speed that they take for normal.
 */
import type { RegisteredEndpoint } from '../types/traffic.js';

const UPDATE_PERIOD_MS = 200;
/** Half-life of the averages. */
const HALF_LIFE_MS = 8000;
/** Multiples of the median slowdown at which an engine becomes slow, and at which it ceases to be. */
const SLOW_MIN = 1.5;
const NORMAL_MAX = 1.15;

export interface EngineSpeeds {
  /** Start ids of lastingly slow engines; the same set until it changes. */
  listSlow(
    pool: string,
    endpoints: readonly RegisteredEndpoint[],
    nowMs: number,
  ): ReadonlySet<string>;
}

interface PoolSpeeds {
  updatedMs: number;
  slow: ReadonlySet<string>;
  /** Mean slowdowns by start id. */
  averages: ReadonlyMap<string, number>;
}

const NO_ENGINES: ReadonlySet<string> = new Set();

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 1;
}

function isSameSet(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return a.size === b.size && [...a].every((id) => b.has(id));
}

export function createEngineSpeeds(
  getSlowdown: (endpoint: RegisteredEndpoint, nowMs: number) => number,
): EngineSpeeds {
  const pools = new Map<string, PoolSpeeds>();

  function computeAverages(
    { averages, updatedMs }: PoolSpeeds,
    endpoints: readonly RegisteredEndpoint[],
    nowMs: number,
  ): ReadonlyMap<string, number> {
    const weight = 1 - 0.5 ** ((nowMs - updatedMs) / HALF_LIFE_MS);
    return new Map(
      endpoints.map((endpoint) => {
        const before = averages.get(endpoint.startId) ?? 1;
        const change = (getSlowdown(endpoint, nowMs) - before) * weight;
        return [endpoint.startId, before + change];
      }),
    );
  }

  function updatePool(
    pool: PoolSpeeds,
    endpoints: readonly RegisteredEndpoint[],
    nowMs: number,
  ): void {
    pool.averages = computeAverages(pool, endpoints, nowMs);
    pool.updatedMs = nowMs;
    const median = computeMedian([...pool.averages.values()]);
    const slow = [...pool.averages]
      .filter(([id, average]) => average > median * (pool.slow.has(id) ? NORMAL_MAX : SLOW_MIN))
      .map(([id]) => id);
    const slowIds = new Set(slow);
    if (!isSameSet(slowIds, pool.slow)) pool.slow = slowIds;
  }

  return {
    listSlow(name, endpoints, nowMs) {
      const pool = pools.get(name);
      if (pool === undefined) {
        pools.set(name, { updatedMs: nowMs, slow: NO_ENGINES, averages: new Map() });
        return NO_ENGINES;
      }
      if (nowMs - pool.updatedMs >= UPDATE_PERIOD_MS) updatePool(pool, endpoints, nowMs);
      return pool.slow;
    },
  };
}
