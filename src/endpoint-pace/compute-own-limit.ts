/**
 * Divides the limit of an endpoint among the instances, so that they do not all send their first call
 * at once. Rendezvous hashing gives all instances that know the same fleet the same division.
 */
import { hashName, hashPair } from '../utils/hash.js';

/** Share of the limit below which the running calls show that more instances may send. */
const USED_SHARE_MIN = 0.5;

/** Upper bound of the hashes kept, above the design size of a fleet. */
const NAME_HASHES_MAX = 2048;

/** Hashes of instance names, since each refresh of a limit needs those of the whole fleet. */
const nameHashes = new Map<string, number>();

function getNameHash(name: string): number {
  const known = nameHashes.get(name);
  if (known !== undefined) return known;
  if (nameHashes.size >= NAME_HASHES_MAX) nameHashes.clear();
  const hash = hashName(name);
  nameHashes.set(name, hash);
  return hash;
}

export interface OwnLimitInput {
  /** Identifies the start of the endpoint. */
  readonly start: string;
  /** Calls of all instances together. */
  readonly limit: number;
  /** Multiple of the limit that is divided, 1 or more. */
  readonly spread: number;
  readonly instances: readonly string[];
  readonly self: string;
}

/** Calls that this instance may have running at the endpoint. */
export function computeOwnLimit(input: OwnLimitInput): number {
  const { start, limit, spread, instances, self } = input;
  const count = Math.max(1, instances.length);
  const divided = Math.min(limit * spread, Math.max(limit, count));
  const base = Math.floor(divided / count);
  const remainder = divided % count;
  if (remainder === 0) return base;
  const startHash = hashName(start);
  const ownRank = hashPair(getNameHash(self), startHash);
  const before = instances.filter((name) => {
    const rank = hashPair(getNameHash(name), startHash);
    return rank > ownRank || (rank === ownRank && name < self);
  });
  return base + (before.length < remainder ? 1 : 0);
}

export interface SpreadInput {
  readonly spread: number;
  readonly limit: number;
  /** Calls that all instances have running at the endpoint, as reported. */
  readonly running: number;
  readonly instances: number;
}

/**
 * Returns the multiple of the limit to divide from now on.
 *
 * Guards against an endpoint that stays idle since the few instances that may send there get no calls
 * for it. Where the calls under way used no more than half of the limit, twice as many instances may
 * send, so that about the limit is expected.
 */
export function computeNextSpread({ spread, limit, running, instances }: SpreadInput): number {
  if (running > limit) return Math.max(1, Math.floor(spread / 2));
  const isUsed = running > limit * USED_SHARE_MIN || limit * spread >= instances;
  return isUsed ? spread : spread * 2;
}
