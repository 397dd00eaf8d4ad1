/** Largest value of a `uint32` field. */
const UINT32_MAX = 2 ** 32 - 1;

/** Rounds a value and bounds it to what a `uint32` field holds. */
export function encodeUint32(value: number): number {
  return Math.min(UINT32_MAX, Math.max(0, Math.round(value)));
}
