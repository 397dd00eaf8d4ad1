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
/** A split ends below this part only: a pool that is split and joined in turn has its shared parts read anew each time. */
const PAUSE_SHARE_END = 0.6;
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
  /** A call of the route has this many tokens that are its own, beside shared parts. */
  record(route: Route, pool: string, ownTokens: number): void;
  /** Looks anew at how a pool is split. */
  update(pool: string, pace: PoolPace, readingPauseMs: number | undefined): void;
  find(route: Route, pool: string): PromptRole;
  /** Whether long prompts are kept apart in the pool. */
  isSplit(pool: string): boolean;
  /** The shortest target among the pool's routes whose prompts were seen, in milliseconds. */
  findShortestTarget(pool: string): number | undefined;
  /** Mean tokens of a route's prompts that are their own; 0 while unknown. */
  getMeanTokens(route: Route, pool: string): number;
}

interface RouteSize {
  readonly route: Route;
  readonly tokens: MovingAverage;
}

interface PoolRoles {
  readonly sizes: Map<string, RouteSize>;
  /** Roles by route; empty while the pool is not split. */
  roles: ReadonlyMap<string, PromptRole>;
}

/** Whether reading makes a route's streams late; once it did, until pauses are clearly shorter. */
function isEndangered({ gapTargetMs }: Route, readingPauseMs: number, wasSplit: boolean): boolean {
  const share = wasSplit ? PAUSE_SHARE_END : PAUSE_SHARE;
  return gapTargetMs !== undefined && readingPauseMs >= gapTargetMs * share;
}

/** Roles of a pool's routes; empty where keeping prompts apart helps nobody. */
function computeRoles(
  sizes: readonly RouteSize[],
  { reading, plainPauseMs }: PoolPace,
  readingPauseMs: number | undefined,
  wasSplit: boolean,
): ReadonlyMap<string, PromptRole> {
  const roles = new Map<string, PromptRole>();
  if (reading === undefined || readingPauseMs === undefined) return roles;
  const endangered = sizes.filter(({ route }) => isEndangered(route, readingPauseMs, wasSplit));
  const shortestMs = Math.min(...endangered.map(({ route }) => route.gapTargetMs ?? Infinity));
  const longMs = Math.max(0, shortestMs - plainPauseMs) * LONG_SHARE;
  for (const { route, tokens } of sizes) {
    const isKnown = tokens.count() >= SIZES_TRUSTED;
    const isLong = isKnown && tokens.get(0) * reading.msPerToken >= longMs;
    if (isLong) roles.set(route.name, PROMPT_ROLE.Long);
    else if (endangered.some((size) => size.route.name === route.name)) {
      roles.set(route.name, PROMPT_ROLE.Delicate);
    }
  }
  const found = [...roles.values()];
  const isUseful = found.includes(PROMPT_ROLE.Long) && found.includes(PROMPT_ROLE.Delicate);
  return isUseful ? roles : new Map();
}

/** Builds roles of which nothing is known: every call is plain. */
export function createPromptRoles(): PromptRoles {
  const pools = new Map<string, PoolRoles>();

  function getPool(name: string): PoolRoles {
    const known = pools.get(name);
    if (known !== undefined) return known;
    const pool: PoolRoles = { sizes: new Map(), roles: new Map() };
    pools.set(name, pool);
    return pool;
  }

  return {
    record(route, pool, ownTokens) {
      const { sizes } = getPool(pool);
      const tokens = sizes.get(route.name)?.tokens ?? createMovingAverage(SIZE_ALPHA);
      tokens.add(ownTokens);
      sizes.set(route.name, { route, tokens });
    },
    update(pool, pace, readingPauseMs) {
      const state = getPool(pool);
      const wasSplit = state.roles.size > 0;
      state.roles = computeRoles([...state.sizes.values()], pace, readingPauseMs, wasSplit);
    },
    find: (route, pool) => getPool(pool).roles.get(route.name) ?? PROMPT_ROLE.Plain,
    isSplit: (pool) => getPool(pool).roles.size > 0,
    findShortestTarget(pool) {
      const targets = [...getPool(pool).sizes.values()].map(({ route }) => route.targetMs);
      return targets.length === 0 ? undefined : Math.min(...targets);
    },
    getMeanTokens: (route, pool) => getPool(pool).sizes.get(route.name)?.tokens.get(0) ?? 0,
  };
}

/** How many engines a demand needs. */
function computeNeed(reading: number, running: number, slots: number): number {
  const ofReading = Math.ceil(reading / READING_MAX);
  const ofSlots = Math.ceil(running / Math.max(1, slots * SLOTS_MAX));
  return Math.max(1, ofReading, ofSlots);
}

/**
 * Engines in proportion to the prompt tokens of either side. Guards against shared parts of long prompts
 * that no longer fit the engines set apart for them: it shows as parts that are read again and again on a
 * quiet day, when reading alone asks for a single engine. In proportion, each side's parts stay as long
 * as they would in the whole pool.
 */
function computeMemoryShare(engines: number, { longTokens, shortTokens }: PoolDemand): number {
  const tokens = longTokens + shortTokens;
  return tokens === 0 ? 1 : Math.round((engines * longTokens) / tokens);
}

/** How many of a pool's engines take long prompts; the others keep what they need first, since their calls are the more urgent. */
function computeLongEngines(engines: number, slots: number, demand: PoolDemand): number {
  const need = computeNeed(demand.longReading, demand.longRunning, slots);
  const long = Math.max(need, computeMemoryShare(engines, demand));
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
