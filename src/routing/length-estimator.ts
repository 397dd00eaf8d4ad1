/** Learns response lengths per class and organisation from completed responses. */
import { createBoundedMap } from '../utils/bounded-map.js';
import { createMovingAverage } from '../utils/moving-average.js';
import type { MovingAverage } from '../utils/moving-average.js';

const LENGTH_ALPHA = 0.05;
const DEFAULT_LENGTH_TOKENS = 64;
/** Below this the mean of the class is used. */
const ORGANISATION_SAMPLES_MIN = 8;
const ORGANISATION_MEANS_MAX = 4096;

/** Expected response lengths, in tokens. */
export interface LengthEstimator {
  predict(className: string, organisation: string): number;
  record(className: string, organisation: string, tokens: number): void;
}

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
