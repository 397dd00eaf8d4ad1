/**
 * Estimates the recent failure rate of an endpoint.
 *
 * Guards against an endpoint that fails some of its calls quickly: it looks lightly loaded and
 * would attract more calls.
 */
import { createDecayingSums } from '../utils/decaying-sums.js';
import type { DecayingSums } from '../utils/decaying-sums.js';

/** Calls that ended at an endpoint and those that failed, with exponential decay. */
export interface FailureCounts {
  readonly answers: number;
  readonly failures: number;
}

/** Half-life of a recorded call; an endpoint that recovered is trusted again after a few of these. */
const HALF_LIFE_MS = 3000;
/**
 * A single failure may be caused by the call itself, so some failures are not counted and some
 * answers are assumed in advance.
 */
const FAILURES_TOLERATED = 1;
const PRIOR_ANSWERS = 2;

export function createFailureCounts(): DecayingSums<keyof FailureCounts> {
  return createDecayingSums(['answers', 'failures'], HALF_LIFE_MS);
}

/** Returns the failure rate, 0 to 1. */
export function computeFailureRate({ answers, failures }: FailureCounts): number {
  return Math.max(0, failures - FAILURES_TOLERATED) / (answers + PRIOR_ANSWERS);
}
