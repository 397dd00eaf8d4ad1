/**
 * Converts times on the source's monotonic clock to this process's. The error always makes data
 * look older, never newer. Data is stamped with the source's clock, so its age stays known however
 * long it is in transit, even in a datagram that was queued while the process was suspended.
 */

/** A reading of the source's clock. */
export interface ClockSample {
  /** The source's clock when it answered; from a peer, its latest possible value. */
  readonly sourceNowMs: number;
  /** When the request was sent, on this process's clock. */
  readonly sentMs: number;
}

export interface SourceClock {
  record(sample: ClockSample): void;
  /**
   * Upper bound of the time since `sourceMs`, in milliseconds; infinite while the offset is
   * unknown.
   */
  computeAge(sourceMs: number, nowMs: number): number;
  /** Latest possible value of the source's clock; undefined while the offset is unknown. */
  computeSourceNow(nowMs: number): number | undefined;
  /** Discards the offset after this process's clock stood still. */
  reset(): void;
}

export function createSourceClock(): SourceClock {
  // A response cannot precede its request, so each sample is a lower bound of the offset.
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
