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

/** Tokens of a whole prompt, by its size or by its parts, whichever says more. */
export function computePromptTokens({ inputTokens, parts }: PromptShape): number {
  return Math.max(
    inputTokens,
    parts.reduce((sum, { tokens }) => sum + tokens, 0),
  );
}

/** All parts but the last form the shared prefix; a single part is shared as a whole. */
export function computePromptCost(prompt: PromptShape): PromptCost {
  const shared: readonly PromptPart[] =
    prompt.parts.length > 1 ? prompt.parts.slice(0, -1) : prompt.parts;
  const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
  const total = computePromptTokens(prompt);
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

const HASH_RANGE = 2 ** 32;

/** With the square of a uniform rank, an engine is ranked first half as often as the others. */
function computeSlowRank(rank: number): number {
  return (rank * rank) / HASH_RANGE;
}

/** Endpoints that should cache a shared prefix. */
export interface PrefixHomes {
  readonly first: RegisteredEndpoint | undefined;
  /** Gets the calls that the first has no room for, so that these read the prefix at one endpoint only. */
  readonly second: RegisteredEndpoint | undefined;
}

/**
 * Finds the endpoints that should cache a shared prefix, by rendezvous hashing: the same on every
 * instance that knows the same endpoints.
 */
export function findPrefixHomes(
  sharedPrefix: string,
  endpoints: readonly RegisteredEndpoint[],
  slow: ReadonlySet<string>,
): PrefixHomes {
  const prefixHash = hashName(sharedPrefix);
  let first: RegisteredEndpoint | undefined;
  let second: RegisteredEndpoint | undefined;
  let firstRank = -1;
  let secondRank = -1;
  for (const endpoint of endpoints) {
    const hash = hashPair(getHash(endpoint), prefixHash);
    const rank = slow.has(endpoint.startId) ? computeSlowRank(hash) : hash;
    if (rank > firstRank) {
      second = first;
      secondRank = firstRank;
      first = endpoint;
      firstRank = rank;
    } else if (rank > secondRank) {
      second = endpoint;
      secondRank = rank;
    }
  }
  return { first, second };
}
