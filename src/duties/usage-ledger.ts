/**
 * Counts by organisation and window of time, gathered from all instances, free of I/O. What an instance
 * counted in a window only grows, so that what it tells may come twice, late and in any order, from
 * whomever, and an instance that dies takes nothing with it that it had told.
 */

/** Windows that are kept: the longest time that an instance may be cut off and still be counted, and some. */
const WINDOWS_KEPT = 12;

/** An organisation's calls. */
export interface UsageCount {
  readonly organisation: string;
  readonly count: number;
}

/** What one start of an instance counted in a window so far. */
export interface UsageShare {
  readonly window: number;
  readonly counts: readonly UsageCount[];
}

/** Counts of all instances. */
export interface UsageLedger {
  add(source: string, window: number, organisation: string): void;
  /** Takes what a start of an instance told; less than is known is no news. */
  merge(source: string, windowCounts: UsageShare): void;
  /** What one start counted, by window. */
  listBySource(source: string): UsageShare[];
  /** The sums over all instances, by organisation in order of names. */
  sum(window: number): UsageCount[];
}

type Counts = Map<string, number>;

/** Builds a ledger without any count. */
export function createUsageLedger(): UsageLedger {
  /** By window, then by source, then by organisation. */
  const windows = new Map<number, Map<string, Counts>>();
  let newest = -Infinity;

  function removeOld(): void {
    for (const window of windows.keys()) {
      if (window <= newest - WINDOWS_KEPT) windows.delete(window);
    }
  }

  /** Undefined for a window that is long over. */
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
