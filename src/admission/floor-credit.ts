/**
 * A class's floor, kept as credit in slot-milliseconds. Credit grows while the class has waiting
 * work and holds fewer contest slots than its floor; a floor grant costs what the class usually
 * holds a slot for, settled when the slot comes back. So over any long stretch of contention the
 * class gets at least its floor of the shard's slot time, in whole requests, at the next free slot
 * and never by preemption; unused credit is lent by simply not being asked for.
 */
import { createMovingAverage } from '../utils/moving-average.js';
import { createRecentQuantile } from '../utils/recent-quantile.js';

const HOLD_ALPHA = 0.1;
/** Assumed until the class's first slot came back, in milliseconds. */
const DEFAULT_HOLD_MS = 500;
/** Credit is capped at this many usual holds, so that a long wait does not turn into a burst. */
const CREDIT_MAX_HOLDS = 1.5;

/** Nearly every answer of the class holds a slot no longer than this quantile of the last ones. */
const TAIL_HOLD_QUANTILE = 0.98;
const TAIL_HOLD_SAMPLES = 128;

/** Credit of one class. */
export interface FloorCredit {
  /** Accounts for `elapsedMs` in which the class had waiting work. */
  advance(elapsedMs: number, floorSlots: number, priorityHeld: number): void;
  /** Whether the next free slot is the class's by its floor. */
  isDue(): boolean;
  /** Pays for a floor grant. */
  take(): void;
  /**
   * Learns how long a slot was held, and settles a floor grant's price. `isWhole`: for an answer
   * from its beginning to its end; pieces of answers say little of how long one may take.
   */
  record(heldMs: number, wasFloor: boolean, isComplete: boolean): void;
  /** The price of one grant, in slot-milliseconds. */
  getMeanHoldMs(): number;
  /** How long a slot may well be held, in milliseconds; 0 while unknown. */
  getTailHoldMs(): number;
}

/** Builds a class's credit, at nothing. */
export function createFloorCredit(): FloorCredit {
  const meanHold = createMovingAverage(HOLD_ALPHA);
  const tailHold = createRecentQuantile(TAIL_HOLD_QUANTILE, TAIL_HOLD_SAMPLES);
  let credit = 0;
  const getMeanHoldMs = (): number => Math.max(1, meanHold.get(DEFAULT_HOLD_MS));
  return {
    advance(elapsedMs, floorSlots, priorityHeld) {
      const gain = Math.max(0, floorSlots - priorityHeld) * elapsedMs;
      credit = Math.min(credit + gain, getMeanHoldMs() * CREDIT_MAX_HOLDS);
    },
    isDue: () => credit >= getMeanHoldMs(),
    take() {
      credit -= getMeanHoldMs();
    },
    record(heldMs, wasFloor, isComplete) {
      if (wasFloor) credit += getMeanHoldMs() - heldMs;
      meanHold.add(heldMs);
      // A piece longer than what is thought long for a whole answer says that much at least.
      if (isComplete || heldMs > tailHold.get(Infinity)) tailHold.add(heldMs);
    },
    getMeanHoldMs,
    getTailHoldMs: () => tailHold.get(0),
  };
}
