/** Measures processor time and memory of cores that need no network. */

/** One point of a slope. */
export interface SlopePoint {
  readonly size: number;
  readonly value: number;
}

/** How a cost grows with a size. */
export interface Slope {
  readonly role: string;
  /** What is counted, with its unit. */
  readonly cost: string;
  /** What the size counts. */
  readonly against: string;
  readonly points: readonly SlopePoint[];
  /** Cost for each further unit of size, by least squares. */
  readonly perUnit: number;
}

const ROUNDS = 5;
const MEBIBYTE = 1024 * 1024;

/** Microseconds of one call of `run`: the minimum of several rounds of `times` calls. */
export function computeMicroseconds(times: number, run: (index: number) => void): number {
  for (let index = 0; index < times; index += 1) run(index);
  let best = Infinity;
  for (let round = 0; round < ROUNDS; round += 1) {
    const startedMs = performance.now();
    for (let index = 0; index < times; index += 1) run(index);
    best = Math.min(best, ((performance.now() - startedMs) * 1000) / times);
  }
  return best;
}

/** Mebibytes of heap retained by the value that `build` returns; requires `--expose-gc`. */
export function computeMebibytes(build: () => unknown): number {
  const collect = globalThis.gc;
  if (collect === undefined) throw new Error('start with node --expose-gc to measure memory');
  collect();
  const before = process.memoryUsage().heapUsed;
  const kept = build();
  collect();
  const after = process.memoryUsage().heapUsed;
  if (kept === undefined) throw new Error('nothing was built; return what is to be weighed');
  return (after - before) / MEBIBYTE;
}

/** Fits a line through points by least squares. */
export function buildSlope(
  role: string,
  cost: string,
  against: string,
  points: readonly SlopePoint[],
): Slope {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const { size, value } of points) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
  }
  return { role, cost, against, points, perUnit: variance === 0 ? 0 : covariance / variance };
}
