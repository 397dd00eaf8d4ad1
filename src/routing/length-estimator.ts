/**
 * Learns how long answers get, per class and organisation, from the answers that ended. Nobody
 * declares lengths: the brief says nobody knows them.
 */
import { createBoundedMap } from '../utils/bounded-map.js';
import { createMovingAverage } from '../utils/moving-average.js';
import type { MovingAverage } from '../utils/moving-average.js';

const LENGTH_ALPHA = 0.05;
/** Assumed before the first answer of a class has ended, in tokens. */
const DEFAULT_LENGTH_TOKENS = 64;
/** Samples after which an organisation's own mean is used in place of the class's. */
const ORGANISATION_SAMPLES_MIN = 8;
const ORGANISATION_MEANS_MAX = 4096;

/** Expected answer lengths. */
export interface LengthEstimator {
  predict(className: string, organisation: string): number;
  record(className: string, organisation: string, tokens: number): void;
}

/** Builds an estimator that has seen nothing. */
export function createLengthEstimator(): LengthEstimator {
  const classMeans = new Map<string, MovingAverage>();
  const organisationMeans = createBoundedMap<string, MovingAverage>(ORGANISATION_MEANS_MAX);
  return {
    predict(className, organisation) {
      const organisationMean = organisationMeans.get(`${className}|${organisation}`);
      if (organisationMean !== undefined && organisationMean.count() >= ORGANISATION_SAMPLES_MIN)
        return organisationMean.get(DEFAULT_LENGTH_TOKENS);
      return classMeans.get(className)?.get(DEFAULT_LENGTH_TOKENS) ?? DEFAULT_LENGTH_TOKENS;
    },
    record(className, organisation, tokens) {
      const key = `${className}|${organisation}`;
      const organisationMean = organisationMeans.get(key) ?? createMovingAverage(LENGTH_ALPHA);
      const classMean = classMeans.get(className) ?? createMovingAverage(LENGTH_ALPHA);
      organisationMean.add(tokens);
      classMean.add(tokens);
      organisationMeans.set(key, organisationMean);
      classMeans.set(className, classMean);
    },
  };
}
