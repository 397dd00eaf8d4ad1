/**
 * What a stand-in engine answers: a text fixed by the prompt alone, so that any caller can check
 * that it got the whole answer to its own request, whichever engines produced it.
 */
import { hashName } from '../utils/hash.js';

const SYLLABLES = ['ka', 'lu', 'mi', 'no', 'pe', 'ra', 'si', 'to', 'va', 'we', 'yo', 'zu'] as const;
const LENGTH_PATTERN = /\[length:(\d+)\]/;
const LENGTH_MIN = 4;
const LENGTH_MAX = 400;
/** Shape of the heavy-tailed (Pareto) lengths: lower is heavier. */
const PARETO_SHAPE = 1.4;
const LENGTH_SCALE = 12;

/** One token of the answer to a prompt, counted from 0. */
export function buildToken(prompt: string, index: number): string {
  const hash = hashName(`${prompt}#${index}`);
  const first = SYLLABLES[hash % SYLLABLES.length];
  const second = SYLLABLES[Math.floor(hash / SYLLABLES.length) % SYLLABLES.length];
  return `${first}${second} `;
}

/** Tokens in the whole answer: as the prompt's `[length:N]` says, else drawn from a heavy tail. */
export function computeAnswerLength(prompt: string, maxTokens: number): number {
  const asked = LENGTH_PATTERN.exec(prompt)?.[1];
  if (asked !== undefined) return Math.min(maxTokens, Number(asked));
  const uniform = (hashName(prompt) + 1) / 2 ** 32;
  const drawn = Math.round(LENGTH_SCALE / uniform ** (1 / PARETO_SHAPE));
  return Math.min(maxTokens, Math.max(LENGTH_MIN, Math.min(LENGTH_MAX, drawn)));
}

/** The whole answer to a prompt. */
export function buildAnswer(prompt: string, maxTokens: number): string {
  const length = computeAnswerLength(prompt, maxTokens);
  return Array.from({ length }, (_, index) => buildToken(prompt, index)).join('');
}

/** Tokens in a piece of an answer. */
export function countTokens(text: string): number {
  return text.split(' ').filter((word) => word !== '').length;
}
