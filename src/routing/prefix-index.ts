/**
 * Remembers which endpoint last served a prompt prefix. The key is salted with the organisation, so
 * no organisation can learn of, or aim at, another's prefixes; each organisation has its own bound,
 * so none can push another's entries out.
 */
import { createBoundedMap } from '../utils/bounded-map.js';
import type { BoundedMap } from '../utils/bounded-map.js';

/** Prefixes kept for one organisation. */
const PREFIXES_PER_ORGANISATION = 64;
/** Organisations with prefixes kept in one shard. */
const ORGANISATIONS_MAX = 512;

/** The index of one shard. */
export interface PrefixIndex {
  find(organisation: string, prefixHash: number): string | undefined;
  record(organisation: string, prefixHash: number, endpoint: string): void;
}

/** Builds an empty index. */
export function createPrefixIndex(): PrefixIndex {
  const organisations = createBoundedMap<string, BoundedMap<number, string>>(ORGANISATIONS_MAX);
  return {
    find: (organisation, prefixHash) => organisations.get(organisation)?.get(prefixHash),
    record(organisation, prefixHash, endpoint) {
      let prefixes = organisations.get(organisation);
      if (prefixes === undefined) {
        prefixes = createBoundedMap(PREFIXES_PER_ORGANISATION);
        organisations.set(organisation, prefixes);
      }
      prefixes.set(prefixHash, endpoint);
    },
  };
}
