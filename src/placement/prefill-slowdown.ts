/**
 * Estimates how much longer an engine takes to read prompts than its pool, from the time to first
 * events.
 *
 * Guards against sending urgent calls to an engine that is slower than its unread tokens suggest,
 * because it is degraded or its prefix cache is cold.
 */
import { createDecayingSums } from '../utils/decaying-sums.js';
import type { DecayingSums } from '../utils/decaying-sums.js';
import type { PrefillSpeed } from './prefill-fit.js';

/** Tokens read by an engine and the time taken, with exponential decay. */
export interface PrefillSums {
  readonly readTokens: number;
  readonly readMs: number;
}

/** Half-life of a sample; bursts and slow periods last seconds. */
const HALF_LIFE_MS = 2000;
/**
 * Weight of the pool's speed in the estimate, in prompts of mean size, so that no single response
 * decides.
 */
const PRIOR_PROMPTS = 4;
/** Bounds that limit the effect of outliers. */
const SLOWDOWN_MIN = 0.7;
const SLOWDOWN_MAX = 8;

export function createPrefillSums(): DecayingSums<keyof PrefillSums> {
  return createDecayingSums(['readTokens', 'readMs'], HALF_LIFE_MS);
}

/**
 * Builds the sample of a first event that came after `tookMs`, with `tokens` to read until then.
 */
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

/** Returns the time the engine takes to read prompts, relative to its pool. */
export function computeSlowdown(
  { readTokens, readMs }: PrefillSums,
  { msPerToken, meanTokens }: PrefillSpeed,
): number {
  const priorMs = PRIOR_PROMPTS * meanTokens * msPerToken;
  const slowdown = (readMs + priorMs) / (readTokens * msPerToken + priorMs);
  return Math.min(SLOWDOWN_MAX, Math.max(SLOWDOWN_MIN, slowdown));
}
