/** Least-squares line through samples with exponential decay. */

/** The line `y = meanY + slope * (x - meanX)`. */
export interface Line {
  readonly slope: number;
  readonly meanX: number;
  readonly meanY: number;
}

export interface LinearFit {
  add(x: number, y: number): void;
  /** Returns undefined if there are too few samples or all have the same x. */
  get(): Line | undefined;
}

export interface LinearFitOptions {
  /** Factor applied to the weight of earlier samples at each new sample, 0 to 1. */
  readonly decay: number;
  /** Minimum number of samples for a result. */
  readonly samplesMin: number;
}

export function createLinearFit({ decay, samplesMin }: LinearFitOptions): LinearFit {
  let samples = 0;
  let weight = 0;
  let meanX = 0;
  let meanY = 0;
  let variance = 0;
  let covariance = 0;
  return {
    add(x, y) {
      samples += 1;
      weight = weight * decay + 1;
      const newestWeight = 1 / weight;
      const offsetX = x - meanX;
      const offsetY = y - meanY;
      meanX += offsetX * newestWeight;
      meanY += offsetY * newestWeight;
      variance += (offsetX * (x - meanX) - variance) * newestWeight;
      covariance += (offsetX * (y - meanY) - covariance) * newestWeight;
    },
    get() {
      if (samples < samplesMin || variance <= 0) return undefined;
      return { slope: covariance / variance, meanX, meanY };
    },
  };
}
