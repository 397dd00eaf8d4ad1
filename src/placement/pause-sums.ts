/** Pauses between the events of streams at one engine, as the fleet saw them recently. */
import { createDecayingSums } from '../utils/decaying-sums.js';
import type { DecayingSums } from '../utils/decaying-sums.js';

/** Number of pauses and their total length, with exponential decay. */
export interface PauseSums {
  readonly pauses: number;
  readonly pauseMs: number;
}

/** Half-life of a recorded pause: some events of a stream, since engines change speed within a second. */
const HALF_LIFE_MS = 700;

export function createPauseSums(): DecayingSums<keyof PauseSums> {
  return createDecayingSums(['pauses', 'pauseMs'], HALF_LIFE_MS);
}
