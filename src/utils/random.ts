/** Seeded pseudo-random numbers, for reproducible decisions. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UINT32 = 0x100000000;

export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer in [0, bound). */
  nextIndex(bound: number): number;
}

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(Math.trunc(seed));
  const next = (): number => (generator.next() >>> 0) / UINT32;
  return { next, nextIndex: (bound) => Math.floor(next() * bound) };
}
