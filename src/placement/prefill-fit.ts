/**
 * Estimates the prefill speed of a pool's engines by a linear fit of the time to the first event
 * against the prompt tokens read.
 */

import { createLinearFit } from '../utils/linear-fit.js';

/** Samples required before the fit is used. */
const SAMPLES_MIN = 10;
/** Factor by which each new sample reduces the weight of earlier ones. */
const SAMPLE_DECAY = 0.995;

export interface PrefillSpeed {
  /** Part of the time to the first event that does not depend on the prompt. */
  readonly fixedMs: number;
  readonly msPerToken: number;
  /** Mean number of tokens read per prompt. */
  readonly meanTokens: number;
}

export interface PrefillFit {
  /** Adds a call with `tokens` to read whose first event came after `tookMs`. */
  add(tokens: number, tookMs: number): void;
  /** Undefined with too few samples, or if the time does not grow with the tokens read. */
  get(): PrefillSpeed | undefined;
}

export function createPrefillFit(): PrefillFit {
  const fit = createLinearFit({ decay: SAMPLE_DECAY, samplesMin: SAMPLES_MIN });
  return {
    add: (tokens, tookMs) => fit.add(tokens, tookMs),
    get() {
      const line = fit.get();
      if (line === undefined || line.slope <= 0) return undefined;
      const { slope, meanX, meanY } = line;
      return { fixedMs: Math.max(0, meanY - slope * meanX), msPerToken: slope, meanTokens: meanX };
    },
  };
}
