/**
 * Reserves engines of a pool for the most urgent streams. Performs no I/O.
 *
 * Guards against streams that stall: an engine reads prompts in chunks between the tokens of its
 * streams, so a long prompt delays all of them. Less urgent prompts go to the other engines, as do
 * urgent ones when the reserved engines are busy.
 *
 * The reserve follows the urgent calls of the whole fleet and engines are ranked by hash, so that
 * all instances reserve nearly the same engines without coordination.
 */
import type { RegisteredEndpoint } from '../types/traffic.js';
import { isLargePool } from './large-pool.js';
import { hashName } from '../utils/hash.js';
import { createMovingAverage } from '../utils/moving-average.js';
import type { MovingAverage } from '../utils/moving-average.js';

/** Minimum number of ended streams at other engines before their pauses are used. */
const STREAM_SAMPLES_MIN = 20;
/** Minimum share of these streams with a pause longer than the most urgent routes declare. */
const LATE_SHARE_MIN = 0.1;
/**
 * Minimum ratio of the mean size of less urgent prompts to that of urgent ones; below it, urgent calls
 * disturb each other as much.
 */
const PROMPT_SIZE_RATIO_MIN = 2;
/**
 * Share of the reserved slots that urgent calls take at their peak, leaving headroom for bursts,
 * which come faster than the reserve changes.
 */
const TARGET_UTILIZATION = 0.5;
/** Share of their declared pause that the urgent calls of one engine may add to their pauses. */
const ADDED_PAUSE_SHARE_MAX = 0.25;
/** Minimum share of a pool to reserve, for the first calls of a burst. */
const POOL_SHARE_MIN = 0.06;
/** Maximum share of a pool to reserve, so that other calls do not starve. */
const POOL_SHARE_MAX = 0.33;
/**
 * Half-life of the peak of urgent calls. Each change of the reserve moves shared prefixes, which
 * then have to be read again.
 */
const PEAK_HALF_LIFE_MS = 20_000;
/** Share of the reserve that must be unneeded before it shrinks. */
const SHRINK_SHARE = 0.3;
const UPDATE_PERIOD_MS = 200;
/** Weight of the newest call in the moving averages. */
const ALPHA = 0.02;

export interface ReserveInput {
  readonly endpoints: readonly RegisteredEndpoint[];
  /** Urgent calls of all instances running at an engine. */
  readonly countUrgent: (startId: string) => number;
  /** Increase in the pause between stream events per running call; 0 while unknown. */
  readonly pauseMsPerCall: number;
  /**
   * Pause declared by the most urgent streams; infinite if they declare none or the pool has no
   * less urgent routes.
   */
  readonly urgentPauseMs: number;
  /**
   * Whether the reserve of a large pool leaves out the late streams and pauses that this instance saw. These
   * differ between instances, which would reserve different engines and give a shared prefix several homes.
   */
  readonly ignoresOwnStreams: boolean;
}

/** A stream that ended successfully. */
export interface EndedStream {
  readonly endpoint: string;
  readonly longestPauseMs: number;
  /** Pause declared by the most urgent streams of the pool. */
  readonly urgentPauseMs: number;
}

export interface EngineReserves {
  /** Records a prompt sent to an engine of the pool, which reads `readTokens` of it. */
  recordPrompt(pool: string, isUrgent: boolean, readTokens: number): void;
  recordStream(pool: string, stream: EndedStream): void;
  /** Returns the ids of the reserved engines; none if a reserve would not help. */
  choose(pool: string, input: ReserveInput, nowMs: number): ReadonlySet<string>;
}

interface PoolReserve {
  readonly urgentTokens: MovingAverage;
  readonly otherTokens: MovingAverage;
  /**
   * Share of the streams at other engines that paused for longer than the most urgent routes
   * declare.
   */
  readonly lateShare: MovingAverage;
  updatedMs: number;
  peak: number;
  size: number;
  endpoints: readonly RegisteredEndpoint[];
  reserved: ReadonlySet<string>;
}

const NO_ENGINES: ReadonlySet<string> = new Set();

function isDecidedByFleet({ endpoints, ignoresOwnStreams }: ReserveInput): boolean {
  return ignoresOwnStreams && isLargePool(endpoints.length);
}

/** Whether less urgent prompts are long enough to stall urgent streams at the same engine. */
function isUseful(
  { urgentTokens, otherTokens, lateShare }: PoolReserve,
  input: ReserveInput,
): boolean {
  const { endpoints, urgentPauseMs } = input;
  if (!Number.isFinite(urgentPauseMs)) return false;
  if (urgentTokens.get(0) * PROMPT_SIZE_RATIO_MIN > otherTokens.get(0)) return false;
  if (isDecidedByFleet(input)) return true;
  if (lateShare.count() < STREAM_SAMPLES_MIN) return isLargePool(endpoints.length);
  return lateShare.get(0) > LATE_SHARE_MIN;
}

function computeTargetSize(peak: number, input: ReserveInput): number {
  const { endpoints, pauseMsPerCall, urgentPauseMs } = input;
  const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0) / endpoints.length;
  const maxPerEngine =
    pauseMsPerCall > 0 && !isDecidedByFleet(input)
      ? (urgentPauseMs * ADDED_PAUSE_SHARE_MAX) / pauseMsPerCall
      : Infinity;
  const needed = Math.ceil(peak / Math.max(1, Math.min(slots * TARGET_UTILIZATION, maxPerEngine)));
  const sizeMin = Math.ceil(endpoints.length * POOL_SHARE_MIN);
  const sizeMax = Math.max(1, Math.floor(endpoints.length * POOL_SHARE_MAX));
  return Math.min(sizeMax, Math.max(sizeMin, needed));
}

/**
 * Grows at once but shrinks with hysteresis, since each change moves the homes of shared prefixes.
 */
function computeSize(size: number, target: number): number {
  return target > size || target < size * (1 - SHRINK_SHARE) ? target : size;
}

/**
 * Picks engines by hash rank: the same on all instances, and nearly the same after an engine is
 * added or removed.
 */
function chooseReserved(
  endpoints: readonly RegisteredEndpoint[],
  size: number,
): ReadonlySet<string> {
  const ranked = endpoints
    .map(({ id }) => ({ id, rank: hashName(`${id}|reserve`) }))
    .sort((a, b) => b.rank - a.rank);
  return new Set(ranked.slice(0, size).map(({ id }) => id));
}

export function createEngineReserves(): EngineReserves {
  const pools = new Map<string, PoolReserve>();

  function getPool(name: string): PoolReserve {
    const known = pools.get(name);
    if (known !== undefined) return known;
    const pool: PoolReserve = {
      urgentTokens: createMovingAverage(ALPHA),
      otherTokens: createMovingAverage(ALPHA),
      lateShare: createMovingAverage(ALPHA),
      updatedMs: -Infinity,
      peak: 0,
      size: 0,
      endpoints: [],
      reserved: NO_ENGINES,
    };
    pools.set(name, pool);
    return pool;
  }

  function updateSize(pool: PoolReserve, input: ReserveInput, nowMs: number): void {
    const sinceMs = nowMs - pool.updatedMs;
    const decayedPeak = Number.isFinite(sinceMs)
      ? pool.peak * 0.5 ** (sinceMs / PEAK_HALF_LIFE_MS)
      : 0;
    const urgent = input.endpoints.reduce(
      (sum, { startId }) => sum + input.countUrgent(startId),
      0,
    );
    pool.updatedMs = nowMs;
    pool.peak = Math.max(decayedPeak, urgent);
    // A single engine cannot be reserved.
    const isEnabled = input.endpoints.length > 1 && isUseful(pool, input);
    pool.size = isEnabled ? computeSize(pool.size, computeTargetSize(pool.peak, input)) : 0;
  }

  return {
    recordPrompt(name, isUrgent, readTokens) {
      const { urgentTokens, otherTokens } = getPool(name);
      (isUrgent ? urgentTokens : otherTokens).add(readTokens);
    },
    recordStream(name, { endpoint, longestPauseMs, urgentPauseMs }) {
      const { reserved, lateShare } = getPool(name);
      // Only streams at other engines show whether a reserve is needed.
      if (!reserved.has(endpoint)) lateShare.add(longestPauseMs > urgentPauseMs ? 1 : 0);
    },
    choose(name, input, nowMs) {
      const pool = getPool(name);
      const previousSize = pool.size;
      if (nowMs - pool.updatedMs >= UPDATE_PERIOD_MS) updateSize(pool, input, nowMs);
      if (pool.size !== previousSize || pool.endpoints !== input.endpoints) {
        pool.endpoints = input.endpoints;
        pool.reserved = pool.size === 0 ? NO_ENGINES : chooseReserved(input.endpoints, pool.size);
      }
      return pool.reserved;
    },
  };
}
