/**
 * Learns how fast a pool's endpoints answer: time to the first frame and between frames. From it
 * come the bounds after which an attempt counts as stalled. Nothing about time is configured: the
 * unit of an engine's step is not known.
 */
import { createMovingAverage } from '../utils/moving-average.js';

const LATENCY_ALPHA = 0.05;
const GAP_FACTOR = 8;
const GAP_TIMEOUT_MIN_MS = 250;
const FIRST_FRAME_FACTOR = 6;
const FIRST_FRAME_TIMEOUT_MIN_MS = 600;
/** Before anything is known an attempt is given this long, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 10_000;
/** Samples before a bound is trusted. */
const SAMPLES_MIN = 10;

/** The pace of one pool. */
export interface PaceEstimator {
  recordFirst(ms: number): void;
  recordGap(ms: number): void;
  /** Mean time between frames, in milliseconds; 0 while unknown. */
  getGap(): number;
  computeFirstBound(): number;
  computeGapBound(): number;
}

/** Builds an estimator that has seen nothing. */
export function createPaceEstimator(): PaceEstimator {
  const firstFrame = createMovingAverage(LATENCY_ALPHA);
  const gap = createMovingAverage(LATENCY_ALPHA);
  return {
    recordFirst: (ms) => firstFrame.add(ms),
    recordGap: (ms) => gap.add(ms),
    getGap: () => gap.get(0),
    computeFirstBound: () =>
      firstFrame.count() < SAMPLES_MIN
        ? DEFAULT_TIMEOUT_MS
        : Math.max(FIRST_FRAME_TIMEOUT_MIN_MS, firstFrame.get(0) * FIRST_FRAME_FACTOR),
    computeGapBound: () =>
      gap.count() < SAMPLES_MIN
        ? DEFAULT_TIMEOUT_MS
        : Math.max(GAP_TIMEOUT_MIN_MS, gap.get(0) * GAP_FACTOR),
  };
}
