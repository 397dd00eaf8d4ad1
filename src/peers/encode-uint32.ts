/** Largest value of a `uint32` field. */
const UINT32_MAX = 2 ** 32 - 1;

/**
 * Rounds a value and bounds it to what a `uint32` field holds; 0 for what is no number. The encoder
 * throws for anything else, so each quantity passes through here.
 */
export function encodeUint32(value: number): number {
  return Number.isNaN(value) ? 0 : Math.min(UINT32_MAX, Math.max(0, Math.round(value)));
}
