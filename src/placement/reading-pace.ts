/**
 * How much longer than its pool's engines on the whole one engine takes to read prompts, free of I/O:
 * the time that first answers took against the tokens that were counted as unread ahead of them.
 *
 * Guards against counting on the pace of a healthy engine with warm prefixes. An engine that has
 * turned slow, or one that reads shared parts anew which were thought to be kept, falls behind what
 * is counted: it shows as urgent calls that wait for seconds at engines whose count of unread tokens
 * promises half a second. What is learned from answers needs to know neither cause.
 */
import { createDecayingSums } from '../utils/decaying-sums.js';
import type { DecayingSums } from '../utils/decaying-sums.js';
import type { PrefillSpeed } from './reading-fit.js';

/** Tokens that one engine read and the time it took, in milliseconds; older samples count less. */
export interface PrefillSums {
  readonly readTokens: number;
  readonly readMs: number;
}

/** Time after which a sample counts half, in milliseconds: bursts and slow spells last seconds. */
const HALF_LIFE_MS = 2000;
/** Prompts of mean size, read at the pool's pace, that stand in for samples not seen yet: one odd answer must not decide. */
const PRIOR_PROMPTS = 4;
/** Bounds of how many times slower an engine counts, so that one odd sample does not decide. */
const SLOWDOWN_MIN = 0.7;
const SLOWDOWN_MAX = 8;

/** Builds the sums of one engine. */
export function createPrefillSums(): DecayingSums<keyof PrefillSums> {
  return createDecayingSums(['readTokens', 'readMs'], HALF_LIFE_MS);
}

/** What a first answer tells that came `tookMs` after its call was sent, behind and with `tokens` unread tokens. */
export function buildPrefillSample(
  tokens: number,
  tookMs: number,
  { fixedMs, msPerToken }: PrefillSpeed,
): PrefillSums {
  return {
    readTokens: tokens,
    readMs: Math.max(tookMs - fixedMs, tokens * msPerToken * SLOWDOWN_MIN),
  };
}

/** How many times longer than the pool's engines on the whole one takes to read. */
export function computeSlowdown(
  { readTokens, readMs }: PrefillSums,
  { msPerToken, meanTokens }: PrefillSpeed,
): number {
  const priorMs = PRIOR_PROMPTS * meanTokens * msPerToken;
  const slowdown = (readMs + priorMs) / (readTokens * msPerToken + priorMs);
  return Math.min(SLOWDOWN_MAX, Math.max(SLOWDOWN_MIN, slowdown));
}
