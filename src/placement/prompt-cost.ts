/**
 * What a prompt costs at a model engine, as far as it decides where a call goes: the tokens that are
 * read before its first answer. Engines read prompts in the order they were admitted, a chunk at a
 * time between the tokens of other requests, so unread tokens are what a new prompt waits behind.
 */
import type { PromptPart, PromptShape } from '../calls/call-messages.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { hashName, hashPair } from '../utils/hash.js';

/** A prompt as placing sees it. */
export interface PromptCost {
  /** The last part that other prompts share; its place in the pool is chosen by it. */
  readonly sharedPrefix: string;
  /** Tokens that an engine which holds the shared parts need not read. */
  readonly sharedTokens: number;
  readonly ownTokens: number;
}

/** Splits a prompt into what others share and what is its own. */
export function computePromptCost(prompt: PromptShape): PromptCost {
  const shared: readonly PromptPart[] =
    prompt.parts.length > 1 ? prompt.parts.slice(0, -1) : prompt.parts;
  const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
  const total = Math.max(
    prompt.inputTokens,
    prompt.parts.reduce((sum, { tokens }) => sum + tokens, 0),
  );
  return {
    sharedPrefix: `${prompt.model}|${shared.at(-1)?.id ?? ''}`,
    sharedTokens,
    ownTokens: total - sharedTokens,
  };
}

/** Hashes of endpoints' ids: each choice asks for those of a whole pool. */
const hashes = new WeakMap<RegisteredEndpoint, number>();

function getHash(endpoint: RegisteredEndpoint): number {
  const known = hashes.get(endpoint);
  if (known !== undefined) return known;
  const hash = hashName(endpoint.id);
  hashes.set(endpoint, hash);
  return hash;
}

/**
 * The endpoint that is to keep a shared part: the one that ranks highest by rendezvous hashing, the
 * same on every instance that knows the same endpoints.
 */
export function findHomeEndpoint(
  sharedPart: string,
  endpoints: readonly RegisteredEndpoint[],
): RegisteredEndpoint | undefined {
  const partHash = hashName(sharedPart);
  let home: RegisteredEndpoint | undefined;
  let highest = -1;
  for (const endpoint of endpoints) {
    const rank = hashPair(getHash(endpoint), partHash);
    if (rank > highest) {
      highest = rank;
      home = endpoint;
    }
  }
  return home;
}
