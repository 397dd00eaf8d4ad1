/**
 * Credit in slot-milliseconds that guarantees a class its floor, the declared share of the shard's
 * slots. Credit accrues while the class has queued tickets and holds fewer priority slots than its
 * floor. A floor grant is charged the mean hold time and settled on release. Under sustained contention
 * the class thus gets at least its floor, without preemption. Unused credit is lent to other classes.
 */
import { createMovingAverage } from '../utils/moving-average.js';
import { createRecentQuantile } from '../utils/recent-quantile.js';

const HOLD_ALPHA = 0.1;
const DEFAULT_HOLD_MS = 500;
/** Limits the burst after a long wait, in mean hold times. */
const CREDIT_MAX_HOLDS = 1.5;
const TAIL_HOLD_QUANTILE = 0.98;
const TAIL_HOLD_SAMPLES = 128;

/** Floor credit of one class. */
export interface FloorCredit {
  /** Accrues credit for `elapsedMs` during which the class had queued tickets. */
  advance(elapsedMs: number, floorSlots: number, priorityHeld: number): void;
  /** Whether the credit pays for a floor grant. */
  isDue(): boolean;
  /** Charges a floor grant. */
  take(): void;
  /**
   * Records a hold time and settles the charge of a floor grant. `isComplete` is false for interrupted
   * or resumed responses, whose shorter holds would bias the tail.
   */
  record(heldMs: number, wasFloor: boolean, isComplete: boolean): void;
  getMeanHoldMs(): number;
  /** High quantile of recent hold times; 0 while unknown. */
  getTailHoldMs(): number;
}

/** Creates an account without credit. */
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
      // A partial hold above the tail is a lower bound of a complete one.
      if (isComplete || heldMs > tailHold.get(Infinity)) tailHold.add(heldMs);
    },
    getMeanHoldMs,
    getTailHoldMs: () => tailHold.get(0),
  };
}
