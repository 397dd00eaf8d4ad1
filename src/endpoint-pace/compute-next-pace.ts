/** Decides how the pace of an endpoint follows what the fleet saw of it. Performs no I/O. */
import { assertNever } from '../utils/assert-never.js';
import { PACE_STATE, PACE_TROUBLE } from './pace.js';
import type { FallingBackPace, LimitedPace, Pace, PaceTrouble, SettledPace } from './pace.js';
import type { PaceReading } from './pace-reading.js';

/** Two intervals of the load updates: until then, calls under the previous limit are not all seen. */
export const STEP_MS = 200;
/**
 * Time after the limit was halved until its effect is judged: the half-life of the sums that tell how
 * long first events take.
 */
const HOLD_MS = 2000;
/** Longest time that an endpoint has a limit after its registration or last failure. */
export const LIMITED_MAX_MS = 10_000;
/** Share of the limit that must have been answered recently before it doubles. */
const ANSWERED_SHARE_MIN = 0.5;
/**
 * Time at a limit after which one answer is enough, since load updates leave answers out: those of
 * instances that do not know the pool's speed yet or have no call running there any more. With three
 * doublings, an endpoint without trouble is settled within a few seconds.
 */
const STEP_MAX_MS = 1000;
/** Answers that are needed in any case; the sums decay, so that one counts for less than 1 soon. */
const ANSWERED_MIN = 0.5;
/** Slowdown relative to the endpoint's own speed from which it is in trouble. */
const SLOWDOWN_MAX = 2;
/** If halving the limit leaves more than this share of the slowdown, the load is not its cause. */
const SLOWDOWN_KEPT_SHARE = 0.75;
/** Failure rate from which an endpoint with a limit is in trouble; a first failure does not count. */
const FAILURE_RATE_MAX = 0.1;
/** Increase of the decaying sum of failures that proves a new one. */
const NEW_FAILURES_MIN = 0.5;

export interface PaceInput {
  readonly reading: PaceReading;
  readonly slots: number;
  /** Limit of an endpoint of the pool that starts now. */
  readonly initialLimit: number;
  /** Lowest recent value of the decaying sum of failures. */
  readonly failuresLow: number;
  readonly nowMs: number;
}

export function buildSettledPace(sinceMs: number): SettledPace {
  return { kind: PACE_STATE.Settled, sinceMs };
}

function hasNewFailures({ reading, failuresLow }: PaceInput): boolean {
  return reading.failures >= failuresLow + NEW_FAILURES_MIN;
}

/**
 * A settled endpoint falls back only if calls failed there in a row. Refusals come from too many calls
 * for the pool; a limit at one endpoint would send them to the others.
 */
function computeNextSettled(pace: SettledPace, input: PaceInput): Pace {
  const { reading, slots, initialLimit, nowMs } = input;
  if (!reading.isSuspect || !hasNewFailures(input)) return pace;
  const half = Math.floor(Math.min(slots, reading.running) / 2);
  return {
    kind: PACE_STATE.FallingBack,
    trouble: PACE_TROUBLE.Failing,
    limit: Math.max(initialLimit, half),
    steppedMs: nowMs,
    failedMs: nowMs,
    ownSlowdown: 1,
    slowdownBefore: reading.slowdown,
  };
}

function findTrouble(pace: LimitedPace, input: PaceInput): PaceTrouble | undefined {
  const { failureRate, slowdown } = input.reading;
  if (failureRate >= FAILURE_RATE_MAX && hasNewFailures(input)) return PACE_TROUBLE.Failing;
  return slowdown >= SLOWDOWN_MAX * pace.ownSlowdown ? PACE_TROUBLE.Slow : undefined;
}

function buildFallingBack(
  { limit, failedMs, ownSlowdown }: LimitedPace,
  trouble: PaceTrouble,
  { reading, nowMs }: PaceInput,
): FallingBackPace {
  return {
    kind: PACE_STATE.FallingBack,
    trouble,
    limit: Math.max(1, Math.floor(limit / 2)),
    steppedMs: nowMs,
    // Slowness does not prolong the limit, since a slow endpoint may stay so.
    failedMs: trouble === PACE_TROUBLE.Failing ? nowMs : failedMs,
    ownSlowdown,
    slowdownBefore: reading.slowdown,
  };
}

/** Growth after a fall, with the slowdown that halving the limit did not reduce as the endpoint's own. */
function buildGrowing(pace: FallingBackPace, { reading, nowMs }: PaceInput): Pace {
  const { limit, failedMs, ownSlowdown, slowdownBefore, trouble } = pace;
  const isOwnSpeed =
    trouble === PACE_TROUBLE.Slow && reading.slowdown > slowdownBefore * SLOWDOWN_KEPT_SHARE;
  return {
    kind: PACE_STATE.Growing,
    limit,
    steppedMs: nowMs,
    failedMs,
    ownSlowdown: isOwnSpeed ? Math.max(ownSlowdown, reading.slowdown) : ownSlowdown,
  };
}

function computeNextFallingBack(pace: FallingBackPace, input: PaceInput): Pace {
  const sinceMs = input.nowMs - pace.steppedMs;
  const trouble = findTrouble(pace, input);
  if (trouble === PACE_TROUBLE.Failing && sinceMs >= STEP_MS)
    return buildFallingBack(pace, trouble, input);
  return sinceMs >= HOLD_MS ? buildGrowing(pace, input) : pace;
}

function computeNextGrowth(pace: Exclude<LimitedPace, FallingBackPace>, input: PaceInput): Pace {
  const { reading, slots, initialLimit, nowMs } = input;
  const trouble = findTrouble(pace, input);
  if (trouble !== undefined) return buildFallingBack(pace, trouble, input);
  const sinceMs = nowMs - pace.steppedMs;
  const isAnswered =
    reading.answered >= pace.limit * ANSWERED_SHARE_MIN ||
    (reading.answered >= ANSWERED_MIN && sinceMs >= STEP_MAX_MS);
  if (isAnswered && sinceMs >= STEP_MS) {
    const limit = pace.limit * 2;
    if (limit >= slots) return buildSettledPace(nowMs);
    return { ...pace, kind: PACE_STATE.Growing, limit, steppedMs: nowMs };
  }
  if (pace.kind === PACE_STATE.Growing) return pace;
  // More endpoints of the pool may have started since, so that fewer others take over their load.
  const limit = Math.max(pace.limit, initialLimit);
  const hasCalls = reading.running > 0 || reading.answered > 0;
  const kind = hasCalls ? PACE_STATE.Probing : pace.kind;
  return kind === pace.kind && limit === pace.limit ? pace : { ...pace, kind, limit };
}

export function computeNextPace(pace: Pace, input: PaceInput): Pace {
  const { nowMs } = input;
  if (pace.kind === PACE_STATE.Settled) return computeNextSettled(pace, input);
  if (nowMs - pace.failedMs >= LIMITED_MAX_MS) return buildSettledPace(nowMs);
  switch (pace.kind) {
    case PACE_STATE.New:
    case PACE_STATE.Probing:
    case PACE_STATE.Growing:
      return computeNextGrowth(pace, input);
    case PACE_STATE.FallingBack:
      return computeNextFallingBack(pace, input);
    default:
      return assertNever(pace);
  }
}
