/** The size from which a pool is placed by what the whole fleet knows. */

/**
 * One instance of a fleet in front of so many engines sees few of their streams. In a smaller pool it sees
 * enough, and one engine more or less is felt.
 */
const LARGE_POOL_MIN = 24;

export function isLargePool(engines: number): boolean {
  return engines >= LARGE_POOL_MIN;
}
