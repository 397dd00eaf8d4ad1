/**
 * Maps moments on a source's steady clock to this process's monotonic clock, always erring towards
 * the past, so that knowledge is never taken for younger than it is. What is known is stamped with
 * the source's clock: such a stamp holds however long it travels and whoever passes it on, also in a
 * datagram that lay in the socket of a process that was suspended.
 */

/** An answer that says what the source's clock shows. */
export interface ClockSample {
  /** The source's clock when it answered, or the latest that it can have shown when a peer did. */
  readonly sourceNowMs: number;
  /** When the call was sent, on this process's clock. */
  readonly sentMs: number;
}

/** The relation between the two clocks. */
export interface SourceClock {
  /** Takes an answer into account. */
  record(sample: ClockSample): void;
  /** How long ago a moment on the source's clock was at most, in milliseconds; infinite while the relation is unknown. */
  computeAge(sourceMs: number, nowMs: number): number;
  /** The latest that the source's clock can show; undefined while the relation is unknown. */
  computeSourceNow(nowMs: number): number | undefined;
  /** Forgets the relation: this process's clock stood still while the source's went on. */
  reset(): void;
}

/** Builds a relation that knows nothing. */
export function createSourceClock(): SourceClock {
  // Nobody can have answered before it was asked, so each call bounds the offset from below.
  let offsetMs = -Infinity;
  return {
    record({ sourceNowMs, sentMs }) {
      offsetMs = Math.max(offsetMs, sentMs - sourceNowMs);
    },
    computeAge: (sourceMs, nowMs) => nowMs - (sourceMs + offsetMs),
    computeSourceNow: (nowMs) => (Number.isFinite(offsetMs) ? nowMs - offsetMs : undefined),
    reset() {
      offsetMs = -Infinity;
    },
  };
}
