/**
 * Learns the time to the first frame and between frames of a pool's endpoints, and derives the timeouts
 * after which an attempt counts as stalled.
 */
import { createMovingAverage } from '../utils/moving-average.js';

const LATENCY_ALPHA = 0.05;
const GAP_FACTOR = 8;
const GAP_TIMEOUT_MIN_MS = 250;
const FIRST_FRAME_FACTOR = 6;
const FIRST_FRAME_TIMEOUT_MIN_MS = 600;
/** Applies until enough samples are recorded. */
const DEFAULT_TIMEOUT_MS = 10_000;
const SAMPLES_MIN = 10;

/** Latency of one pool. */
export interface LatencyEstimator {
  recordFirstFrame(ms: number): void;
  recordGap(ms: number): void;
  /** Mean time between frames in milliseconds; 0 while unknown. */
  getMeanGap(): number;
  computeFirstFrameTimeout(): number;
  computeGapTimeout(): number;
}

export function createLatencyEstimator(): LatencyEstimator {
  const firstFrame = createMovingAverage(LATENCY_ALPHA);
  const gap = createMovingAverage(LATENCY_ALPHA);
  return {
    recordFirstFrame: (ms) => firstFrame.add(ms),
    recordGap: (ms) => gap.add(ms),
    getMeanGap: () => gap.get(0),
    computeFirstFrameTimeout: () =>
      firstFrame.count() < SAMPLES_MIN
        ? DEFAULT_TIMEOUT_MS
        : Math.max(FIRST_FRAME_TIMEOUT_MIN_MS, firstFrame.get(0) * FIRST_FRAME_FACTOR),
    computeGapTimeout: () =>
      gap.count() < SAMPLES_MIN
        ? DEFAULT_TIMEOUT_MS
        : Math.max(GAP_TIMEOUT_MIN_MS, gap.get(0) * GAP_FACTOR),
  };
}
