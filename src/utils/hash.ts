/** SHA-256 for content and keys, FNV-1a for fast hashing and rendezvous hashing. */
import { createHash, timingSafeEqual } from 'node:crypto';

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** SHA-256 as hex. */
export function hashText(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Compares two hex digests in constant time. */
export function isSameDigest(left: string, right: string): boolean {
  const a = Buffer.from(left, 'hex');
  const b = Buffer.from(right, 'hex');
  return a.length === b.length && timingSafeEqual(a, b);
}

/** 32-bit FNV-1a with a final mix. Not cryptographic; instances rely on equal results. */
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

/** Combines two hashes into a 32-bit hash; faster than hashing the concatenated names. */
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
 * Returns the `count` members with the highest rank for a key (rendezvous hashing). Adding or removing
 * a member only moves the keys for which it is chosen.
 */
export function chooseRendezvous(key: string, members: readonly string[], count: number): string[] {
  return members
    .map((member) => ({ member, rank: hashName(`${member}|${key}`) }))
    .sort((a, b) => b.rank - a.rank || (a.member < b.member ? -1 : 1))
    .slice(0, count)
    .map(({ member }) => member);
}
