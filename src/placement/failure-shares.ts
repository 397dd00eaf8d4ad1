/**
 * Which part of its calls each endpoint fails, free of I/O.
 *
 * Guards against an endpoint that fails part of its calls quickly while it seems sound: it shows as
 * failures of calls that no other endpoint would have failed, and as a load that always looks light,
 * so that it gets ever more calls. Only instances of the own data centre are believed, because an
 * endpoint may fail the calls of one data centre alone.
 */
import { createDecayingSums } from '../utils/decaying-sums.js';
import type { DecayingSums } from '../utils/decaying-sums.js';

/** Calls that ended at one endpoint and those of them that failed; fractions, since older ones count less. */
export interface FailureCounts {
  readonly answers: number;
  readonly failures: number;
}

/** Time after which a call counts half, in milliseconds: an endpoint that recovered is trusted again within a few of these, and a pool of six at 15 calls a second shows five to ten calls of each in one. */
const HALF_LIFE_MS = 3000;
/** Failures that any endpoint is allowed, and answers that stand in for those not seen yet: one failure alone may be the call's own. */
const FAILURES_TOLERATED = 1;
const PRIOR_ANSWERS = 2;

/** Builds the counts of one endpoint. */
export function createFailureCounts(): DecayingSums<keyof FailureCounts> {
  return createDecayingSums(['answers', 'failures'], HALF_LIFE_MS);
}

/** The part of its calls that an endpoint fails, 0 to 1. */
export function computeFailureRate({ answers, failures }: FailureCounts): number {
  return Math.max(0, failures - FAILURES_TOLERATED) / (answers + PRIOR_ANSWERS);
}
