/**
 * How much of a pool's engines the prompts of long and of short calls take, by own calls and by what
 * other instances tell of theirs, free of I/O.
 */
import { createDecayingSums } from '../utils/decaying-sums.js';
import type { DecayingSums } from '../utils/decaying-sums.js';

/** Time after which what was sent counts half, in milliseconds: bursts last seconds, and engines should not change hands more often. */
const HALF_LIFE_MS = 2000;
const MEAN_LIFE_MS = HALF_LIFE_MS / Math.LN2;

/** What one instance sends to a pool, or all of them together. */
export interface PoolDemand {
  readonly pool: string;
  /** Engines that would be busy reading long calls' prompts all the time. */
  readonly longReading: number;
  readonly shortReading: number;
  /** Calls under way. */
  readonly longRunning: number;
  readonly shortRunning: number;
}

/** Demand of all pools. */
export interface ReadingDemand {
  /** A call was sent; the returned function is called at its end. */
  start(pool: string, isLong: boolean, readMs: number, nowMs: number): () => void;
  listOwn(nowMs: number): PoolDemand[];
  setTold(instance: string, demands: readonly PoolDemand[], nowMs: number): void;
  /** Leaves out what was told longer than `toldAgeMaxMs` ago. */
  advance(nowMs: number, toldAgeMaxMs: number): void;
  /** Of all instances that can be heard. */
  get(pool: string, nowMs: number): PoolDemand;
}

type ReadingKind = 'longMs' | 'shortMs';

interface OwnDemand {
  readonly reading: DecayingSums<ReadingKind>;
  longRunning: number;
  shortRunning: number;
}

function addDemand(a: PoolDemand, b: PoolDemand): PoolDemand {
  return {
    pool: a.pool,
    longReading: a.longReading + b.longReading,
    shortReading: a.shortReading + b.shortReading,
    longRunning: a.longRunning + b.longRunning,
    shortRunning: a.shortRunning + b.shortRunning,
  };
}

/** Builds demand of which nothing is known. */
export function createReadingDemand(): ReadingDemand {
  const own = new Map<string, OwnDemand>();
  const told = new Map<string, { demands: readonly PoolDemand[]; toldMs: number }>();

  function getOwn(pool: string): OwnDemand {
    const known = own.get(pool);
    if (known !== undefined) return known;
    const reading = createDecayingSums<ReadingKind>(['longMs', 'shortMs'], HALF_LIFE_MS);
    const created: OwnDemand = { reading, longRunning: 0, shortRunning: 0 };
    own.set(pool, created);
    return created;
  }

  function buildOwn(pool: string, nowMs: number): PoolDemand {
    const { reading, longRunning, shortRunning } = getOwn(pool);
    const { longMs, shortMs } = reading.read(nowMs);
    const longReading = longMs / MEAN_LIFE_MS;
    return { pool, longReading, shortReading: shortMs / MEAN_LIFE_MS, longRunning, shortRunning };
  }

  return {
    start(pool, isLong, readMs, nowMs) {
      const demand = getOwn(pool);
      demand.reading.add({ longMs: isLong ? readMs : 0, shortMs: isLong ? 0 : readMs }, nowMs);
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
    get(pool, nowMs) {
      let sum = buildOwn(pool, nowMs);
      for (const { demands } of told.values()) {
        for (const demand of demands) if (demand.pool === pool) sum = addDemand(sum, demand);
      }
      return sum;
    },
  };
}
