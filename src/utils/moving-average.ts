/** Exponentially weighted moving average. */
export interface MovingAverage {
  add(sample: number): void;
  /** Returns `fallback` before the first sample. */
  get(fallback: number): number;
  count(): number;
}

/** `alpha`: weight of the newest sample, 0 to 1. */
export function createMovingAverage(alpha: number): MovingAverage {
  let mean = 0;
  let samples = 0;
  return {
    add(sample) {
      samples += 1;
      // The first samples are averaged evenly, so that the very first does not dominate.
      mean += (sample - mean) * Math.max(alpha, 1 / samples);
    },
    get: (fallback) => (samples === 0 ? fallback : mean),
    count: () => samples,
  };
}
