/**
 * Decides which engines of a pool take the long prompts, free of I/O.
 *
 * The load it answers: long drafts beside interactive streams with short declared pauses. An engine
 * that reads long prompts without a break stretches every event of the streams beside it, so that
 * streams whose first event came in time are late all the same. Kept apart, long prompts wait behind
 * each other, for which their targets leave time.
 *
 * Which calls are long follows from what is observed: a pool is split only while reading makes pauses
 * about as long as some route declares, and in proportion to the reading that there is.
 */
import type { RegisteredEndpoint, Route } from '../types/traffic.js';
import { hashName } from '../utils/hash.js';
import { createMovingAverage } from '../utils/moving-average.js';
import type { MovingAverage } from '../utils/moving-average.js';
import type { PoolPace } from './endpoint-loads.js';
import type { PoolDemand } from './reading-demand.js';

/** A pause under reading that is this part of a declared one leaves no room for a longer prompt or more streams. */
const PAUSE_SHARE = 0.8;
/** Calls whose prompts take this part of the shortest declared pause to read count as long: a few that follow each other fill it. */
const LONG_SHARE = 0.3;
/** Part of its time that an engine is to spend reading: beyond it the wait behind other prompts grows without bound. */
const READING_MAX = 0.5;
/** Part of an engine's slots that are to be taken. */
const SLOTS_MAX = 0.8;
const SIZE_ALPHA = 0.02;
const SIZES_TRUSTED = 5;

/** What a call is to the split of its pool. */
export const PROMPT_ROLE = {
  /** Its prompt takes long to read; it goes to the engines set apart for these. */
  Long: 'long',
  /** Its stream would be late at an engine that reads long prompts. */
  Delicate: 'delicate',
  /** It harms nobody and is harmed by nobody; or the pool is not split. */
  Plain: 'plain',
} as const;
export type PromptRole = (typeof PROMPT_ROLE)[keyof typeof PROMPT_ROLE];

/** Learns the sizes of routes' prompts and tells calls' roles by them. */
export interface PromptRoles {
  /** A call of the route makes an engine read this many tokens. */
  record(route: Route, pool: string, tokens: number): void;
  find(route: Route, pool: string, pace: PoolPace): PromptRole;
  /** Whether reading makes pauses too long for some route of the pool. */
  isSplit(pool: string, pace: PoolPace): boolean;
  /** Mean tokens that engines read for a call of the route; 0 while unknown. */
  getMeanTokens(route: Route, pool: string): number;
}

interface RouteSize {
  readonly route: Route;
  readonly tokens: MovingAverage;
}

/** Builds roles of which nothing is known: every call is plain. */
export function createPromptRoles(): PromptRoles {
  const sizesOfPool = new Map<string, Map<string, RouteSize>>();

  /** The shortest pause declared that reading makes too long; undefined where none is. */
  function findShortestPause(sizes: Iterable<RouteSize>, readingMs: number): number | undefined {
    let shortest: number | undefined;
    for (const { route } of sizes) {
      const declared = route.gapTargetMs;
      const isEndangered = declared !== undefined && readingMs >= declared * PAUSE_SHARE;
      if (isEndangered && (shortest === undefined || declared < shortest)) shortest = declared;
    }
    return shortest;
  }

  function findShortestOf(pool: string, { readingPauseMs }: PoolPace): number | undefined {
    const sizes = sizesOfPool.get(pool);
    if (sizes === undefined || readingPauseMs === undefined) return undefined;
    return findShortestPause(sizes.values(), readingPauseMs);
  }

  return {
    isSplit: (pool, pace) => findShortestOf(pool, pace) !== undefined,
    record(route, pool, tokens) {
      const sizes = sizesOfPool.get(pool) ?? new Map<string, RouteSize>();
      sizesOfPool.set(pool, sizes);
      const known = sizes.get(route.name)?.tokens ?? createMovingAverage(SIZE_ALPHA);
      known.add(tokens);
      sizes.set(route.name, { route, tokens: known });
    },
    getMeanTokens: (route, pool) => sizesOfPool.get(pool)?.get(route.name)?.tokens.get(0) ?? 0,
    find(route, pool, pace) {
      const shortest = findShortestOf(pool, pace);
      const { reading, readingPauseMs = 0, plainPauseMs } = pace;
      if (shortest === undefined || reading === undefined) return PROMPT_ROLE.Plain;
      const longMs = Math.max(0, shortest - plainPauseMs) * LONG_SHARE;
      const tokens = sizesOfPool.get(pool)?.get(route.name)?.tokens;
      const isKnown = tokens !== undefined && tokens.count() >= SIZES_TRUSTED;
      if (isKnown && tokens.get(0) * reading.msPerToken >= longMs) return PROMPT_ROLE.Long;
      const declared = route.gapTargetMs;
      const isEndangered = declared !== undefined && readingPauseMs >= declared * PAUSE_SHARE;
      return isEndangered ? PROMPT_ROLE.Delicate : PROMPT_ROLE.Plain;
    },
  };
}

/** How many engines a demand needs. */
function computeNeed(reading: number, running: number, slots: number): number {
  const ofReading = Math.ceil(reading / READING_MAX);
  const ofSlots = Math.ceil(running / Math.max(1, slots * SLOTS_MAX));
  return Math.max(1, ofReading, ofSlots);
}

/** How many of a pool's engines take long prompts; the others keep what they need first, since their calls are the more urgent. */
function computeLongEngines(engines: number, slots: number, demand: PoolDemand): number {
  const long = computeNeed(demand.longReading, demand.longRunning, slots);
  const short = computeNeed(demand.shortReading, demand.shortRunning, slots);
  return Math.max(1, Math.min(long, engines - short));
}

/** The engines that take long prompts: the first in an order that all instances share, so that more or fewer of them move few shared parts. */
export function listLongEngines(
  endpoints: readonly RegisteredEndpoint[],
  demand: PoolDemand,
): ReadonlySet<string> {
  if (endpoints.length < 2) return new Set();
  const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0) / endpoints.length;
  const count = computeLongEngines(endpoints.length, slots, demand);
  const ordered = endpoints
    .map(({ id }) => ({ id, rank: hashName(`long|${id}`) }))
    .sort((a, b) => a.rank - b.rank);
  return new Set(ordered.slice(0, count).map(({ id }) => id));
}
