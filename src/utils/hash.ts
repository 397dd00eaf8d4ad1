/** Hashes: SHA-256 for content and keys, FNV-1a for placing names on instances. */
import { createHash, timingSafeEqual } from 'node:crypto';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hex SHA-256 of a text. */
export function hashText(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Whether two hex digests are equal, in time that does not depend on where they differ. */
export function isSameDigest(left: string, right: string): boolean {
  const a = Buffer.from(left, 'hex');
  const b = Buffer.from(right, 'hex');
  return a.length === b.length && timingSafeEqual(a, b);
}

/** A 32-bit FNV-1a hash with a final mix; quick and stable, never for secrets. */
export function hashName(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  return hash >>> 0;
}

/** A 32-bit rank of a pair of hashes: as good as hashing both names together, at a fraction of the time. */
export function hashPair(a: number, b: number): number {
  let hash = Math.imul(a ^ (b >>> 15), 0x85ebca6b) ^ Math.imul(b, 0xc2b2ae35);
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x7feb352d);
  hash ^= hash >>> 15;
  hash = Math.imul(hash, 0x846ca68b);
  hash ^= hash >>> 16;
  return hash >>> 0;
}

/**
 * Picks the `count` members that rank highest for a key (rendezvous hashing), so that a member's
 * coming or going moves only the keys it ranked first for.
 */
export function chooseRendezvous(key: string, members: readonly string[], count: number): string[] {
  return members
    .map((member) => ({ member, rank: hashName(`${member}|${key}`) }))
    .sort((a, b) => b.rank - a.rank || (a.member < b.member ? -1 : 1))
    .slice(0, count)
    .map(({ member }) => member);
}
