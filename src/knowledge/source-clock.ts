/**
 * Maps moments on a source's steady clock to this process's monotonic clock, always erring towards
 * the past, so that knowledge is never taken for younger than it is.
 */

/** One answer of the source. */
export interface SourceAnswer {
  /** The source's clock when it answered. */
  readonly sourceNowMs: number;
  /** When the call was sent, on this process's clock. */
  readonly sentMs: number;
}

/** The relation between the two clocks. */
export interface SourceClock {
  /** Takes an answer into account and returns the latest moment it surely speaks for. */
  record(answer: SourceAnswer): number;
  /** Forgets the relation: this process's clock stood still while the source's went on. */
  reset(): void;
}

/** Builds a relation that knows nothing. */
export function createSourceClock(): SourceClock {
  // The source cannot have answered before it was asked, so each call bounds the offset from below.
  let offsetMs = -Infinity;
  return {
    record({ sourceNowMs, sentMs }) {
      offsetMs = Math.max(offsetMs, sentMs - sourceNowMs);
      return sourceNowMs + offsetMs;
    },
    reset() {
      offsetMs = -Infinity;
    },
  };
}
