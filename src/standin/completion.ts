/**
 * Deterministic completions for stand-in engines. The text depends only on the prompt, so a caller
 * can verify a completion that several engines produced in turn.
 */
import { hashName } from '../utils/hash.js';

const SYLLABLES = ['ka', 'lu', 'mi', 'no', 'pe', 'ra', 'si', 'to', 'va', 'we', 'yo', 'zu'] as const;
const LENGTH_PATTERN = /\[length:(\d+)\]/;
const MIN_TOKENS = 4;
const MAX_TOKENS = 400;
/** Shape of the Pareto distribution of lengths; a lower value gives a heavier tail. */
const PARETO_SHAPE = 1.4;
const PARETO_SCALE_TOKENS = 12;

/** Builds the token at a zero-based position of the completion. */
export function buildToken(prompt: string, index: number): string {
  const hash = hashName(`${prompt}#${index}`);
  const first = SYLLABLES[hash % SYLLABLES.length];
  const second = SYLLABLES[Math.floor(hash / SYLLABLES.length) % SYLLABLES.length];
  return `${first}${second} `;
}

/** Returns the `[length:N]` of the prompt, or else a Pareto-distributed length derived from its hash. */
export function computeCompletionLength(prompt: string, maxTokens: number): number {
  const requestedLength = LENGTH_PATTERN.exec(prompt)?.[1];
  if (requestedLength !== undefined) return Math.min(maxTokens, Number(requestedLength));
  const uniform = (hashName(prompt) + 1) / 2 ** 32;
  const sampledLength = Math.round(PARETO_SCALE_TOKENS / uniform ** (1 / PARETO_SHAPE));
  return Math.min(maxTokens, Math.max(MIN_TOKENS, Math.min(MAX_TOKENS, sampledLength)));
}

export function buildCompletion(prompt: string, maxTokens: number): string {
  const length = computeCompletionLength(prompt, maxTokens);
  return Array.from({ length }, (_, index) => buildToken(prompt, index)).join('');
}

export function countTokens(text: string): number {
  return text.split(' ').filter((word) => word !== '').length;
}
