/**
 * The instances that keep the binding of a stream: chosen by rendezvous hashing of its key, one in
 * each data centre before a second one, so that a data centre that is cut off keeps one. Performs no I/O.
 */
import { hashName, hashPair } from '../utils/hash.js';
import type { StreamKey } from './stream-binding.js';

/** Names whose hashes are kept; a fleet is smaller. */
const NAMES_MAX = 2048;

/** An instance that may own bindings. */
export interface OwnerCandidate {
  readonly name: string;
  readonly dataCentre: string;
}

export interface OwnerChooser {
  /** Returns the first `count` owners of a key, in an order that all instances agree on. */
  choose(key: StreamKey, candidates: readonly OwnerCandidate[], count: number): string[];
}

interface RankedName {
  readonly name: string;
  readonly rank: number;
}

/** Names compare only where ranks collide. */
function compareRanked(a: RankedName, b: RankedName): number {
  return b.rank - a.rank || (a.name < b.name ? -1 : 1);
}

/** Keeps the first `count`, without sorting the others. */
function addRanked(best: RankedName[], ranked: RankedName, count: number): void {
  const last = best.at(-1);
  if (best.length >= count && last !== undefined && compareRanked(last, ranked) < 0) return;
  best.push(ranked);
  best.sort(compareRanked);
  if (best.length > count) best.pop();
}

export function createOwnerChooser(): OwnerChooser {
  const hashes = new Map<string, number>();

  function getHash(name: string): number {
    const known = hashes.get(name);
    if (known !== undefined) return known;
    if (hashes.size >= NAMES_MAX) hashes.clear();
    const hash = hashName(name);
    hashes.set(name, hash);
    return hash;
  }

  return {
    choose(key, candidates, count) {
      const keyHash = hashName(key);
      const bestByDataCentre = new Map<string, RankedName[]>();
      for (const { name, dataCentre } of candidates) {
        const best = bestByDataCentre.get(dataCentre) ?? [];
        if (best.length === 0) bestByDataCentre.set(dataCentre, best);
        addRanked(best, { name, rank: hashPair(getHash(name), keyHash) }, count);
      }
      return [...bestByDataCentre.values()]
        .flatMap((best) => best.map((ranked, round) => ({ ...ranked, round })))
        .sort((a, b) => a.round - b.round || compareRanked(a, b))
        .slice(0, count)
        .map(({ name }) => name);
    },
  };
}
