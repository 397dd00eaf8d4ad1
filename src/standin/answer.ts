/**
 * What a stand-in engine answers: a text fixed by the prompt alone, so that any caller can check
 * that it got the whole answer to its own request, whichever engines produced it.
 */
import { hashName } from '../utils/hash.js';

const SYLLABLES = ['ka', 'lu', 'mi', 'no', 'pe', 'ra', 'si', 'to', 'va', 'we', 'yo', 'zu'] as const;
const LENGTH_PATTERN = /\[length:(\d+)\]/;
const MIN_TOKENS = 4;
const MAX_TOKENS = 400;
/** Shape of the heavy-tailed (Pareto) lengths: lower is heavier. */
const PARETO_SHAPE = 1.4;
const PARETO_SCALE_TOKENS = 12;

/** One token of the answer to a prompt, counted from 0. */
export function buildToken(prompt: string, index: number): string {
  const hash = hashName(`${prompt}#${index}`);
  const first = SYLLABLES[hash % SYLLABLES.length];
  const second = SYLLABLES[Math.floor(hash / SYLLABLES.length) % SYLLABLES.length];
  return `${first}${second} `;
}

/** Tokens in the whole answer: as the prompt's `[length:N]` says, else drawn from a heavy tail. */
export function computeCompletionLength(prompt: string, maxTokens: number): number {
  const requestedLength = LENGTH_PATTERN.exec(prompt)?.[1];
  if (requestedLength !== undefined) return Math.min(maxTokens, Number(requestedLength));
  const uniform = (hashName(prompt) + 1) / 2 ** 32;
  const sampledLength = Math.round(PARETO_SCALE_TOKENS / uniform ** (1 / PARETO_SHAPE));
  return Math.min(maxTokens, Math.max(MIN_TOKENS, Math.min(MAX_TOKENS, sampledLength)));
}

/** The whole answer to a prompt. */
export function buildAnswer(prompt: string, maxTokens: number): string {
  const length = computeCompletionLength(prompt, maxTokens);
  return Array.from({ length }, (_, index) => buildToken(prompt, index)).join('');
}

/** Tokens in a piece of an answer. */
export function countTokens(text: string): number {
  return text.split(' ').filter((word) => word !== '').length;
}
