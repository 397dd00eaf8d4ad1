/**
 * How much of a pool's engines the prompts of long and of short calls take, by own calls and by what
 * other instances tell of theirs, free of I/O.
 */
import { createDecayingSums } from '../utils/decaying-sums.js';
import type { DecayingSums } from '../utils/decaying-sums.js';

/** Time after which reading that was asked for counts half, in milliseconds: bursts last seconds. */
const READING_HALF_LIFE_MS = 2000;
/** The same for tokens, in milliseconds: engines keep a part for as long as it is asked for every few seconds, and must not change hands sooner. */
const TOKENS_HALF_LIFE_MS = 10_000;
const MS_PER_SECOND = 1000;

/** What one instance sends to a pool, or all of them together. */
export interface PoolDemand {
  readonly pool: string;
  /** Engines that would be busy reading long calls' prompts all the time. */
  readonly longReading: number;
  readonly shortReading: number;
  /** Prompt tokens a second, shared parts among them: what engines' memory is asked to keep. */
  readonly longTokens: number;
  readonly shortTokens: number;
  /** Calls under way. */
  readonly longRunning: number;
  readonly shortRunning: number;
  /** The pause that nine in ten are shorter than while an engine reads, in milliseconds; undefined while unknown. */
  readonly readingPauseMs: number | undefined;
}

/** What one call asks of its pool. */
export interface AskedPrompt {
  readonly isLong: boolean;
  /** How long reading it takes an engine, in milliseconds. */
  readonly readMs: number;
  readonly promptTokens: number;
}

/** Demand of all pools. */
export interface ReadingDemand {
  /** A call was sent; the returned function is called at its end. */
  start(pool: string, call: AskedPrompt, nowMs: number): () => void;
  /** What own streams say of pauses while engines read. */
  setReadingPause(pool: string, pauseMs: number | undefined): void;
  listOwn(nowMs: number): PoolDemand[];
  setTold(instance: string, demands: readonly PoolDemand[], nowMs: number): void;
  /** Leaves out what was told longer than `toldAgeMaxMs` ago. */
  advance(nowMs: number, toldAgeMaxMs: number): void;
  /** Of all instances that can be heard; the pause is their mean, so that they split a pool alike. */
  get(pool: string, nowMs: number): PoolDemand;
}

type SideKind = 'long' | 'short';
const SIDES: readonly SideKind[] = ['long', 'short'];

interface OwnDemand {
  readonly reading: DecayingSums<SideKind>;
  readonly tokens: DecayingSums<SideKind>;
  readingPauseMs: number | undefined;
  longRunning: number;
  shortRunning: number;
}

/** The rate per millisecond of what flows into sums with this half-life. */
function computeRate(sum: number, halfLifeMs: number): number {
  return (sum * Math.LN2) / halfLifeMs;
}

function computeMean(values: readonly number[]): number | undefined {
  if (values.length === 0) return undefined;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function addDemand(a: PoolDemand, b: PoolDemand): PoolDemand {
  return {
    pool: a.pool,
    longReading: a.longReading + b.longReading,
    shortReading: a.shortReading + b.shortReading,
    longTokens: a.longTokens + b.longTokens,
    shortTokens: a.shortTokens + b.shortTokens,
    longRunning: a.longRunning + b.longRunning,
    shortRunning: a.shortRunning + b.shortRunning,
    readingPauseMs: undefined,
  };
}

/** Builds demand of which nothing is known. */
export function createReadingDemand(): ReadingDemand {
  const own = new Map<string, OwnDemand>();
  const told = new Map<string, { demands: readonly PoolDemand[]; toldMs: number }>();

  function getOwn(pool: string): OwnDemand {
    const known = own.get(pool);
    if (known !== undefined) return known;
    const created: OwnDemand = {
      reading: createDecayingSums(SIDES, READING_HALF_LIFE_MS),
      tokens: createDecayingSums(SIDES, TOKENS_HALF_LIFE_MS),
      readingPauseMs: undefined,
      longRunning: 0,
      shortRunning: 0,
    };
    own.set(pool, created);
    return created;
  }

  function buildOwn(pool: string, nowMs: number): PoolDemand {
    const { reading, tokens, readingPauseMs, longRunning, shortRunning } = getOwn(pool);
    const readingMs = reading.read(nowMs);
    const sentTokens = tokens.read(nowMs);
    return {
      pool,
      longReading: computeRate(readingMs.long, READING_HALF_LIFE_MS),
      shortReading: computeRate(readingMs.short, READING_HALF_LIFE_MS),
      longTokens: computeRate(sentTokens.long, TOKENS_HALF_LIFE_MS) * MS_PER_SECOND,
      shortTokens: computeRate(sentTokens.short, TOKENS_HALF_LIFE_MS) * MS_PER_SECOND,
      longRunning,
      shortRunning,
      readingPauseMs,
    };
  }

  return {
    start(pool, { isLong, readMs, promptTokens }, nowMs) {
      const demand = getOwn(pool);
      demand.reading.add({ long: isLong ? readMs : 0, short: isLong ? 0 : readMs }, nowMs);
      demand.tokens.add(
        { long: isLong ? promptTokens : 0, short: isLong ? 0 : promptTokens },
        nowMs,
      );
      if (isLong) demand.longRunning += 1;
      else demand.shortRunning += 1;
      let isEnded = false;
      return () => {
        if (isEnded) return;
        isEnded = true;
        if (isLong) demand.longRunning -= 1;
        else demand.shortRunning -= 1;
      };
    },
    listOwn: (nowMs) => [...own.keys()].map((pool) => buildOwn(pool, nowMs)),
    setTold(instance, demands, nowMs) {
      told.set(instance, { demands, toldMs: nowMs });
    },
    advance(nowMs, toldAgeMaxMs) {
      for (const [instance, { toldMs }] of told) {
        if (nowMs - toldMs > toldAgeMaxMs) told.delete(instance);
      }
    },
    setReadingPause(pool, pauseMs) {
      getOwn(pool).readingPauseMs = pauseMs;
    },
    get(pool, nowMs) {
      let sum = buildOwn(pool, nowMs);
      const pauses = sum.readingPauseMs === undefined ? [] : [sum.readingPauseMs];
      for (const { demands } of told.values()) {
        for (const demand of demands) {
          if (demand.pool === pool) {
            sum = addDemand(sum, demand);
            if (demand.readingPauseMs !== undefined) pauses.push(demand.readingPauseMs);
          }
        }
      }
      return { ...sum, readingPauseMs: computeMean(pauses) };
    },
  };
}
