/**
 * How fast model engines read prompts, learned from the time that first answers took against the
 * tokens that were counted as unread ahead of them, free of I/O.
 *
 * Guards against counting on the pace of a healthy engine with warm prefixes. An engine that has
 * turned slow, or one that reads shared parts anew which were thought to be kept, falls behind what
 * is counted: it shows as urgent calls that wait for seconds at engines whose count of unread tokens
 * promises half a second. A pace learned from answers needs to know neither cause.
 */
import { createDecayingSums } from '../utils/decaying-sums.js';
import type { DecayingSums } from '../utils/decaying-sums.js';

/** Tokens that one engine read and the time it took; older samples count less. */
export interface ReadingSums {
  readonly readTokens: number;
  readonly readMs: number;
}

/** Tokens a healthy engine reads in a millisecond, as the deployments' sheets give it. */
const NOMINAL_TOKENS_PER_MS = 112;
/** What an answer takes beside reading, in milliseconds: the first step of the engine (31), its round trip and timers. */
const FIXED_MS = 45;
/** Time after which a sample counts half, in milliseconds: bursts and slow spells last seconds. */
const HALF_LIFE_MS = 2000;
/** Tokens at the nominal pace that stand in for samples not seen yet: about two long prompts. */
const ASSUMED_TOKENS = 30_000;
/** Bounds of how many times slower than all others an engine counts, so that one odd sample does not decide. */
const SLOWNESS_MIN = 0.7;
const SLOWNESS_MAX = 8;

/** Builds the sums of one engine. */
export function createReadingSums(): DecayingSums<keyof ReadingSums> {
  return createDecayingSums(['readTokens', 'readMs'], HALF_LIFE_MS);
}

/** What a first answer tells that came `tookMs` after its call was sent, behind and with `tokens` unread tokens. */
export function buildReadingSample(tokens: number, tookMs: number): ReadingSums {
  return {
    readTokens: tokens,
    readMs: Math.max(tookMs - FIXED_MS, tokens / NOMINAL_TOKENS_PER_MS),
  };
}

/** Tokens read in a millisecond. */
export function computePace({ readTokens, readMs }: ReadingSums): number {
  return (readTokens + ASSUMED_TOKENS) / (readMs + ASSUMED_TOKENS / NOMINAL_TOKENS_PER_MS);
}

/** How many times longer than engines on the whole one takes to read. */
export function computeSlowness(meanPace: number, pace: number): number {
  return Math.min(SLOWNESS_MAX, Math.max(SLOWNESS_MIN, meanPace / pace));
}
