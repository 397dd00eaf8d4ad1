/** An exponentially weighted mean that knows when it has seen nothing yet. */
export interface MovingAverage {
  add(sample: number): void;
  /** The mean, or `fallback` before the first sample. */
  get(fallback: number): number;
  count(): number;
}

/** Builds a mean in which the newest sample weighs `alpha` (0 to 1). */
export function createMovingAverage(alpha: number): MovingAverage {
  let mean = 0;
  let samples = 0;
  return {
    add(sample) {
      samples += 1;
      // The first samples weigh 1, 1/2, 1/3 …: a fixed weight would cling to the very first.
      mean += (sample - mean) * Math.max(alpha, 1 / samples);
    },
    get: (fallback) => (samples === 0 ? fallback : mean),
    count: () => samples,
  };
}
