/**
 * Keeps some engines of a pool for the most urgent streams, free of I/O.
 *
 * Guards against streams that are late through one pause. An engine reads prompts a piece at a time
 * between the tokens of its streams, and an event of a few tokens waits for as many pieces: beside five
 * pieces in a row every stream of the engine pauses for five times as long as a piece takes. Of 313
 * lookups of a played day, at 82 engines that read 2.8 long prompts a second each, 108 had a pause over
 * the 150 ms declared, none over 210 ms, though their engines were a third full. Where nothing long is
 * read, the same streams pause for a few steps: in a play of 40 engines and 20 instances 0.99 of the lookups
 * are in time instead of 0.54, and 0.96 of the long prompts instead of 0.85, which are held back less.
 *
 * Less urgent prompts go to the engines that are left, and the urgent may go there as well when those
 * kept for them are busy. What is kept follows the urgent calls under way in the whole fleet, so that
 * all instances come to nearly the same engines by themselves; where they differ, it is in the last one.
 */
import type { RegisteredEndpoint } from '../types/traffic.js';
import { hashName } from '../utils/hash.js';
import { createMovingAverage } from '../utils/moving-average.js';
import type { MovingAverage } from '../utils/moving-average.js';

/** Streams that must have ended at engines which nobody keeps before their pauses decide. */
const STREAM_SAMPLES_MIN = 20;
/** Part of these streams that must have paused for longer than the most urgent declare: below it, engines apart would cost more room than pauses cost. */
const LATE_SHARE_MIN = 0.1;
/** Until then a pool of so many engines keeps some: an instance of hundreds sees two calls a second, and crowds come with the first. In a smaller pool one engine more or less is felt. */
const DEFAULT_RESERVE_POOL_MIN = 24;
/** Less urgent prompts must be so many times as long as urgent ones, in the mean, or the urgent disturb each other as much. */
const PROMPT_SIZE_RATIO_MIN = 2;
/** Part of the slots of the engines kept that urgent calls take at their peak: a crowd comes faster than engines change their use. */
const TARGET_UTILIZATION = 0.5;
/** Part of their declared pause that the urgent calls of one engine may add to each other's pauses. */
const ADDED_PAUSE_SHARE_MAX = 0.25;
/** Part of a pool that is kept at least, where any is: the first calls of a crowd come before anybody has told of them. */
const POOL_SHARE_MIN = 0.06;
/** Part of a pool that is kept at most: nobody may starve. */
const POOL_SHARE_MAX = 0.33;
/** Time after which a peak of urgent calls counts half, in milliseconds: crowds come and go within tens of seconds, and shared parts that move are read again. */
const PEAK_HALF_LIFE_MS = 20_000;
/** Part of what is kept that must no longer be wanted before anything is given back. */
const SHRINK_SHARE = 0.3;
/** What is kept is looked at this often, in milliseconds. */
const UPDATE_PERIOD_MS = 200;
/** Weight of the newest call in means: some fifty are in force. */
const ALPHA = 0.02;

/** A pool as its reserve depends on it. */
export interface ReserveInput {
  readonly endpoints: readonly RegisteredEndpoint[];
  /** Urgent calls under way at an engine, of all instances. */
  readonly countUrgent: (startId: string) => number;
  /** What each call under way at an engine adds to the pauses of its streams, in milliseconds; 0 while unknown. */
  readonly pauseMsPerCall: number;
  /** The pause that the most urgent streams declare, in milliseconds; infinite where there are none or nobody comes after them. */
  readonly urgentPauseMs: number;
}

/** A stream that ended whole. */
export interface EndedStream {
  /** Id of its engine. */
  readonly endpoint: string;
  readonly longestPauseMs: number;
  /** The pause that the most urgent streams of the pool declare, in milliseconds. */
  readonly urgentPauseMs: number;
}

/** Reserves of one instance, by pool. */
export interface EngineReserves {
  /** A prompt of the pool is sent, of which its engine reads this much. */
  recordPrompt(pool: string, isUrgent: boolean, readTokens: number): void;
  recordStream(pool: string, stream: EndedStream): void;
  /** Ids of the engines kept for urgent streams; none where keeping them apart gains nothing. */
  choose(pool: string, input: ReserveInput, nowMs: number): ReadonlySet<string>;
}

interface PoolReserve {
  readonly urgentTokens: MovingAverage;
  readonly otherTokens: MovingAverage;
  /** Part of the streams at other engines with a pause over what the most urgent declare. */
  readonly lateShare: MovingAverage;
  updatedMs: number;
  peak: number;
  size: number;
  endpoints: readonly RegisteredEndpoint[];
  reserved: ReadonlySet<string>;
}

const NO_ENGINES: ReadonlySet<string> = new Set();

/** Whether less urgent prompts are long, and streams beside them pause for too long for the urgent. */
function isUseful(
  { urgentTokens, otherTokens, lateShare }: PoolReserve,
  { endpoints, urgentPauseMs }: ReserveInput,
): boolean {
  if (!Number.isFinite(urgentPauseMs)) return false;
  if (urgentTokens.get(0) * PROMPT_SIZE_RATIO_MIN > otherTokens.get(0)) return false;
  if (lateShare.count() < STREAM_SAMPLES_MIN) return endpoints.length >= DEFAULT_RESERVE_POOL_MIN;
  return lateShare.get(0) > LATE_SHARE_MIN;
}

/** How many engines the peak of urgent calls needs. */
function computeTargetSize(peak: number, input: ReserveInput): number {
  const { endpoints, pauseMsPerCall, urgentPauseMs } = input;
  const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0) / endpoints.length;
  const maxPerEngine =
    pauseMsPerCall > 0 ? (urgentPauseMs * ADDED_PAUSE_SHARE_MAX) / pauseMsPerCall : Infinity;
  const needed = Math.ceil(peak / Math.max(1, Math.min(slots * TARGET_UTILIZATION, maxPerEngine)));
  const least = Math.ceil(endpoints.length * POOL_SHARE_MIN);
  const most = Math.max(1, Math.floor(endpoints.length * POOL_SHARE_MAX));
  return Math.min(most, Math.max(least, needed));
}

/** Grows at once and shrinks late: each change moves the homes of shared parts. */
function computeSize(size: number, target: number): number {
  return target > size || target < size * (1 - SHRINK_SHARE) ? target : size;
}

/** The engines that rank highest: the same everywhere, and few others when one comes or goes. */
function chooseReserved(
  endpoints: readonly RegisteredEndpoint[],
  size: number,
): ReadonlySet<string> {
  const ranked = endpoints
    .map(({ id }) => ({ id, rank: hashName(`${id}|reserve`) }))
    .sort((a, b) => b.rank - a.rank);
  return new Set(ranked.slice(0, size).map(({ id }) => id));
}

/** Builds reserves of pools of which nothing is known. */
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
    // With one engine there is nothing to keep apart.
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
      // Of the engines that are kept, only what others suffer would tell whether they should be.
      if (!reserved.has(endpoint)) lateShare.add(longestPauseMs > urgentPauseMs ? 1 : 0);
    },
    choose(name, input, nowMs) {
      const pool = getPool(name);
      const before = pool.size;
      if (nowMs - pool.updatedMs >= UPDATE_PERIOD_MS) updateSize(pool, input, nowMs);
      if (pool.size !== before || pool.endpoints !== input.endpoints) {
        pool.endpoints = input.endpoints;
        pool.reserved = pool.size === 0 ? NO_ENGINES : chooseReserved(input.endpoints, pool.size);
      }
      return pool.reserved;
    },
  };
}
