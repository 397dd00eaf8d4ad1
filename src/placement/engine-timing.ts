/**
 * Predicts the pauses of streams at one engine and what they cost a call. Performs no I/O.
 *
 * Guards against streams that miss their targets at a slow engine while others have room: with one pause
 * for the whole pool, a slot of a slow engine counts as much as a slot of a fast one.
 */
import type { PauseSums } from './pause-sums.js';

/** Pauses at an engine from which they tell more than those of its pool. */
const PAUSES_MIN = 4;
/** Weight of the pool's prediction, in pauses, so that no single slow link decides. */
const PRIOR_PAUSES = 8;
/**
 * Weight of a millisecond by which an engine delays the rest of an answer, relative to one before its
 * start: half of the callers' time is left for either, and the pause may pass before the stream ends.
 */
const DELAY_WEIGHT = 0.25;
/**
 * Shares of the gap target between which the cost of a late stream grows from none to all: single pauses
 * reach about three times the mean.
 */
const LATE_PAUSE_SHARE_MIN = 0.3;
const LATE_PAUSE_SHARE_MAX = 0.8;
/** Cost of a stream that surely misses its gap target, in multiples of its target. */
const LATE_COST_TARGETS = 2;

export interface PauseReading extends PauseSums {
  /** Calls running at the engine, at most its slots. */
  readonly running: number;
  /** Prediction for the pool; undefined while unknown. */
  readonly poolPauseMs: number | undefined;
  /** Increase in the pause per running call of the pool; 0 while unknown. */
  readonly msPerCall: number;
}

/** Mean pause of streams at the engine with `running` calls; undefined while unknown. */
export function predictEnginePauseMs(reading: PauseReading, running: number): number | undefined {
  const { pauses, pauseMs, poolPauseMs, msPerCall } = reading;
  if (pauses < PAUSES_MIN) return poolPauseMs;
  const meanMs = pauseMs / pauses;
  const runningNow = Math.max(1, reading.running);
  // A step takes time even without calls, so pauses grow less than in proportion.
  const engineMs = meanMs + Math.min(meanMs / runningNow, msPerCall) * (running - runningNow);
  if (poolPauseMs === undefined) return engineMs;
  return (engineMs * pauses + poolPauseMs * PRIOR_PAUSES) / (pauses + PRIOR_PAUSES);
}

/**
 * Multiple of the pool's pause up to which an engine's own costs nothing. Among engines that are alike,
 * pauses differ by chance, and instances that follow them all choose the same engine.
 */
const LIKE_PAUSE_FACTOR = 1.5;

export interface PauseCostInput {
  /** Predicted mean pause; undefined while unknown. */
  readonly pauseMs: number | undefined;
  /** The same for the pool. */
  readonly poolPauseMs: number | undefined;
  /** Mean number of events in answers of the route; 0 while unknown. */
  readonly eventsExpected: number;
  readonly targetMs: number;
  /** Infinite if the route declares none. */
  readonly gapTargetMs: number;
}

/** Cost of the pauses to one call: the delay of its events, and missing its gap target. */
export function computePauseCostMs(input: PauseCostInput): number {
  const { pauseMs = 0, poolPauseMs = 0, eventsExpected, targetMs, gapTargetMs } = input;
  if (pauseMs <= poolPauseMs * LIKE_PAUSE_FACTOR) return 0;
  const delayMs = pauseMs * eventsExpected * DELAY_WEIGHT;
  const pauseShare = pauseMs / gapTargetMs;
  const lateShare =
    (pauseShare - LATE_PAUSE_SHARE_MIN) / (LATE_PAUSE_SHARE_MAX - LATE_PAUSE_SHARE_MIN);
  return delayMs + Math.min(1, Math.max(0, lateShare)) * targetMs * LATE_COST_TARGETS;
}
