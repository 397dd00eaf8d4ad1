/**
 * Splits a prompt into a prefix shared with other prompts, which an engine may have cached, and the
 * rest, and assigns each shared prefix a home endpoint.
 *
 * To read a prompt is to prefill it. Engines prefill in order of admission, so a new prompt waits
 * behind all unread tokens.
 */
import type { PromptPart, PromptShape } from '../calls/call-messages.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { hashName, hashPair } from '../utils/hash.js';

/** Token counts that determine the cost of reading a prompt. */
export interface PromptCost {
  /** Key of the shared prefix: the model and the id of its last part. */
  readonly sharedPrefix: string;
  /** Tokens that an engine with the prefix in its cache does not read. */
  readonly sharedTokens: number;
  readonly ownTokens: number;
}

/** All parts but the last form the shared prefix; a single part is shared as a whole. */
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

/** Hashes of endpoint ids, cached because every choice needs those of the whole pool. */
const hashes = new WeakMap<RegisteredEndpoint, number>();

function getHash(endpoint: RegisteredEndpoint): number {
  const known = hashes.get(endpoint);
  if (known !== undefined) return known;
  const hash = hashName(endpoint.id);
  hashes.set(endpoint, hash);
  return hash;
}

/**
 * Returns the endpoint that should cache a shared prefix, by rendezvous hashing: the same on every
 * instance that knows the same endpoints.
 */
export function findHomeEndpoint(
  sharedPrefix: string,
  endpoints: readonly RegisteredEndpoint[],
): RegisteredEndpoint | undefined {
  const prefixHash = hashName(sharedPrefix);
  let home: RegisteredEndpoint | undefined;
  let highestRank = -1;
  for (const endpoint of endpoints) {
    const rank = hashPair(getHash(endpoint), prefixHash);
    if (rank > highestRank) {
      highestRank = rank;
      home = endpoint;
    }
  }
  return home;
}
