/** A straight line through samples, the newest of which weigh most. */

/** The line `y = offset + slope * x`, and the mean of both. */
export interface Line {
  readonly slope: number;
  readonly meanX: number;
  readonly meanY: number;
}

/** The fit of one line. */
export interface LinearFit {
  add(x: number, y: number): void;
  /** Undefined while there are too few samples or all have the same x. */
  get(): Line | undefined;
}

/** What a fit is built on. */
export interface LinearFitOptions {
  /** Each new sample makes those before count this much, 0 to 1. */
  readonly retained: number;
  /** Samples before the fit is used. */
  readonly samplesTrusted: number;
}

/** Builds a fit that has seen nothing. */
export function createLinearFit({ retained, samplesTrusted }: LinearFitOptions): LinearFit {
  let samples = 0;
  let weight = 0;
  let meanX = 0;
  let meanY = 0;
  let variance = 0;
  let covariance = 0;
  return {
    add(x, y) {
      samples += 1;
      weight = weight * retained + 1;
      const share = 1 / weight;
      const offsetX = x - meanX;
      const offsetY = y - meanY;
      meanX += offsetX * share;
      meanY += offsetY * share;
      variance += (offsetX * (x - meanX) - variance) * share;
      covariance += (offsetX * (y - meanY) - covariance) * share;
    },
    get() {
      if (samples < samplesTrusted || variance <= 0) return undefined;
      return { slope: covariance / variance, meanX, meanY };
    },
  };
}
