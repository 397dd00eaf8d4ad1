/**
 * Learns how long answers get, per class and organisation, from the answers that ended. Nobody
 * declares lengths: the brief says nobody knows them.
 */
import { createBoundedMap } from '../utils/bounded-map.js';
import { createMovingAverage } from '../utils/moving-average.js';
import type { MovingAverage } from '../utils/moving-average.js';

const LENGTH_ALPHA = 0.05;
/** Assumed before the first answer of a class has ended, in tokens. */
const LENGTH_UNKNOWN = 64;
/** Samples after which an organisation's own mean is used in place of the class's. */
const OWN_SAMPLES = 8;
const KEYS_KEPT = 4096;

/** Expected answer lengths. */
export interface LengthEstimator {
  predict(className: string, organisation: string): number;
  record(className: string, organisation: string, tokens: number): void;
}

/** Builds an estimator that has seen nothing. */
export function createLengthEstimator(): LengthEstimator {
  const classes = new Map<string, MovingAverage>();
  const own = createBoundedMap<string, MovingAverage>(KEYS_KEPT);
  return {
    predict(className, organisation) {
      const mine = own.get(`${className}|${organisation}`);
      if (mine !== undefined && mine.count() >= OWN_SAMPLES) return mine.get(LENGTH_UNKNOWN);
      return classes.get(className)?.get(LENGTH_UNKNOWN) ?? LENGTH_UNKNOWN;
    },
    record(className, organisation, tokens) {
      const key = `${className}|${organisation}`;
      const mine = own.get(key) ?? createMovingAverage(LENGTH_ALPHA);
      const shared = classes.get(className) ?? createMovingAverage(LENGTH_ALPHA);
      mine.add(tokens);
      shared.add(tokens);
      own.set(key, mine);
      classes.set(className, shared);
    },
  };
}
