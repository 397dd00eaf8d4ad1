/**
 * Call counts by organisation and time window, merged from all instances. Each count only grows, so
 * updates may be repeated, delayed or reordered (a grow-only counter). Performs no I/O.
 */

/**
 * Number of windows retained; bounds how long an instance may be disconnected and still be counted.
 */
const WINDOWS_KEPT = 12;

export interface UsageCount {
  readonly organisation: string;
  readonly count: number;
}

/** Counts of one source in one window. */
export interface WindowCounts {
  readonly window: number;
  readonly counts: readonly UsageCount[];
}

/** Merged counts of all sources. */
export interface UsageLedger {
  add(source: string, window: number, organisation: string): void;
  /** Merges counts received from a source by taking the maximum of each. */
  merge(source: string, windowCounts: WindowCounts): void;
  listBySource(source: string): WindowCounts[];
  /** Sums over all sources, sorted by organisation. */
  sum(window: number): UsageCount[];
}

type Counts = Map<string, number>;

export function createUsageLedger(): UsageLedger {
  /** By window, source and organisation. */
  const windows = new Map<number, Map<string, Counts>>();
  let newest = -Infinity;

  function removeOld(): void {
    for (const window of windows.keys()) {
      if (window <= newest - WINDOWS_KEPT) windows.delete(window);
    }
  }

  /** Undefined if the window is no longer retained. */
  function getCounts(source: string, window: number): Counts | undefined {
    if (window <= newest - WINDOWS_KEPT) return undefined;
    if (window > newest) {
      newest = window;
      removeOld();
    }
    const sources = windows.get(window) ?? new Map<string, Counts>();
    windows.set(window, sources);
    const counts = sources.get(source) ?? new Map<string, number>();
    sources.set(source, counts);
    return counts;
  }

  return {
    add(source, window, organisation) {
      const counts = getCounts(source, window);
      counts?.set(organisation, (counts.get(organisation) ?? 0) + 1);
    },
    merge(source, { window, counts: received }) {
      const counts = getCounts(source, window);
      for (const { organisation, count } of received) {
        counts?.set(organisation, Math.max(counts.get(organisation) ?? 0, count));
      }
    },
    listBySource: (source) =>
      [...windows]
        .filter(([, sources]) => sources.has(source))
        .map(([window, sources]) => ({
          window,
          counts: [...(sources.get(source) ?? [])].map(([organisation, count]) => ({
            organisation,
            count,
          })),
        })),
    sum(window) {
      const sums: Counts = new Map();
      for (const counts of windows.get(window)?.values() ?? []) {
        for (const [organisation, count] of counts) {
          sums.set(organisation, (sums.get(organisation) ?? 0) + count);
        }
      }
      return [...sums]
        .map(([organisation, count]) => ({ organisation, count }))
        .sort((a, b) => (a.organisation < b.organisation ? -1 : 1));
    },
  };
}
