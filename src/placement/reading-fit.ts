/**
 * Learns how long a pool's engines take to answer first: a fixed part and a part for each prompt token
 * that is read, fitted to calls that found nothing unread ahead of them, free of I/O.
 *
 * Nothing about an engine's speed is configured or assumed. Until the first calls have been answered no
 * time is known, and choices go by counts of tokens alone.
 */

import { createLinearFit } from '../utils/linear-fit.js';

/** Samples before the fit is used: fewer often hold one size only. */
const SAMPLES_MIN = 10;
/** Each new sample makes those before count this much: some 200 are in force. */
const SAMPLE_DECAY = 0.995;

/** What the answers of a pool's engines say of their speed. */
export interface PrefillSpeed {
  /** Of any first answer, in milliseconds: a step, a round trip, timers. */
  readonly fixedMs: number;
  /** Of each token that is read, in milliseconds. */
  readonly msPerToken: number;
  /** Mean tokens of a prompt that was read. */
  readonly meanTokens: number;
}

/** The fit of one pool. */
export interface PrefillFit {
  /** A first answer came `tookMs` after its call was sent with `tokens` to read. */
  add(tokens: number, tookMs: number): void;
  /** Undefined while too little was seen, or where size explains nothing. */
  get(): PrefillSpeed | undefined;
}

/** Builds a fit that has seen nothing. */
export function createPrefillFit(): PrefillFit {
  const fit = createLinearFit({ retained: SAMPLE_DECAY, samplesTrusted: SAMPLES_MIN });
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
