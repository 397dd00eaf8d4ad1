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
const HOLD_UNKNOWN_MS = 500;
/** Credit is capped at this many usual holds, so that a long wait does not turn into a burst. */
const CREDIT_CAP_HOLDS = 1.5;

/** Nearly every answer of the class holds a slot no longer than this quantile of the last ones. */
const LONG_HOLD_QUANTILE = 0.98;
const HOLDS_KEPT = 128;

/** Credit of one class. */
export interface FloorCredit {
  /** Accounts for `elapsedMs` in which the class had waiting work. */
  advance(elapsedMs: number, floorSlots: number, contestHeld: number): void;
  /** Whether the next free slot is the class's by its floor. */
  isDue(): boolean;
  /** Pays for a floor grant. */
  take(): void;
  /**
   * Learns how long a slot was held, and settles a floor grant's price. `isWhole`: for an answer
   * from its beginning to its end; pieces of answers say little of how long one may take.
   */
  record(heldMs: number, wasFloor: boolean, isWhole: boolean): void;
  /** The price of one grant, in slot-milliseconds. */
  getQuantum(): number;
  /** How long a slot may well be held, in milliseconds; 0 while unknown. */
  getLongHold(): number;
}

/** Builds a class's credit, at nothing. */
export function createFloorCredit(): FloorCredit {
  const hold = createMovingAverage(HOLD_ALPHA);
  const longHold = createRecentQuantile(LONG_HOLD_QUANTILE, HOLDS_KEPT);
  let credit = 0;
  const getQuantum = (): number => Math.max(1, hold.get(HOLD_UNKNOWN_MS));
  return {
    advance(elapsedMs, floorSlots, contestHeld) {
      const gain = Math.max(0, floorSlots - contestHeld) * elapsedMs;
      credit = Math.min(credit + gain, getQuantum() * CREDIT_CAP_HOLDS);
    },
    isDue: () => credit >= getQuantum(),
    take() {
      credit -= getQuantum();
    },
    record(heldMs, wasFloor, isWhole) {
      if (wasFloor) credit += getQuantum() - heldMs;
      hold.add(heldMs);
      // A piece longer than what is thought long for a whole answer says that much at least.
      if (isWhole || heldMs > longHold.get(Infinity)) longHold.add(heldMs);
    },
    getQuantum,
    getLongHold: () => longHold.get(0),
  };
}
