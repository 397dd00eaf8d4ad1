/**
 * The instances that keep the binding of a stream: chosen by rendezvous hashing of its key, one in
 * each data centre before a second one, so that a data centre that is cut off keeps one. Performs no I/O.
 */
import { hashName, hashPair } from '../utils/hash.js';
import type { StreamKey } from './stream-binding.js';

/** An instance that may own bindings. */
export interface OwnerCandidate {
  readonly name: string;
  readonly dataCentre: string;
}

interface RankedCandidate extends OwnerCandidate {
  readonly rank: number;
  /** Position among those of its data centre. */
  readonly round: number;
}

/** Returns the first `count` owners of a key, in an order that all instances agree on. */
export function listOwners(
  key: StreamKey,
  candidates: readonly OwnerCandidate[],
  count: number,
): string[] {
  const hash = hashName(key);
  const rounds = new Map<string, number>();
  const ranked = candidates
    .map((candidate) => ({ ...candidate, rank: hashPair(hashName(candidate.name), hash) }))
    .sort((a, b) => b.rank - a.rank || (a.name < b.name ? -1 : 1))
    .map((candidate): RankedCandidate => {
      const round = rounds.get(candidate.dataCentre) ?? 0;
      rounds.set(candidate.dataCentre, round + 1);
      return { ...candidate, round };
    });
  return ranked
    .sort((a, b) => a.round - b.round || b.rank - a.rank)
    .slice(0, count)
    .map(({ name }) => name);
}
