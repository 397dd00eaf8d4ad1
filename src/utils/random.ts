/** Seeded randomness, so that the core makes the same choices for the same seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UINT32 = 0x100000000;

/** A source of random numbers. */
export interface Random {
  /** A number from 0 up to, not including, 1. */
  next(): number;
  /** A whole number from 0 up to, not including, `bound`. */
  nextIndex(bound: number): number;
}

/** Builds a generator from a seed. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(Math.trunc(seed));
  const next = (): number => (generator.next() >>> 0) / UINT32;
  return { next, nextIndex: (bound) => Math.floor(next() * bound) };
}
