/** Quantile over a sliding window of the last samples, regardless of their age. */
export interface RecentQuantile {
  add(sample: number): void;
  /** Returns `fallback` before the first sample. */
  get(fallback: number): number;
}

/** Samples between two sorts, which are expensive. */
const SORT_INTERVAL = 8;

/** `quantile`: 0 to 1. `capacity`: size of the window, in samples. */
export function createRecentQuantile(quantile: number, capacity: number): RecentQuantile {
  const samples: number[] = [];
  let next = 0;
  let added = 0;
  let value: number | undefined;
  return {
    add(sample) {
      samples[next] = sample;
      next = (next + 1) % capacity;
      added += 1;
      if (value !== undefined && added % SORT_INTERVAL !== 0 && added > SORT_INTERVAL) return;
      const sorted = [...samples].sort((a, b) => a - b);
      value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))];
    },
    get: (fallback) => value ?? fallback,
  };
}
