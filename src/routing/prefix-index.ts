/**
 * Remembers which endpoint last served a prompt prefix. Prefixes are stored per organisation, so that
 * none can probe another's prefixes or evict its entries.
 */
import { createBoundedMap } from '../utils/bounded-map.js';
import type { BoundedMap } from '../utils/bounded-map.js';

const PREFIXES_PER_ORGANISATION = 64;
const ORGANISATIONS_MAX = 512;

/** Prefix index of one shard. */
export interface PrefixIndex {
  find(organisation: string, prefixHash: number): string | undefined;
  record(organisation: string, prefixHash: number, endpoint: string): void;
}

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
