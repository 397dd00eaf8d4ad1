/**
 * Knows the time of day without trusting the own wall clock, which may be stepped: by the source's steady
 * clock, which is one for all instances, and one moment of it that the fleet has agreed on. Free of I/O.
 */

/** What was heard of the source's clock counts for one to two of these, in milliseconds: clocks run apart by less than a millisecond meanwhile. */
const SPAN_MS = 30_000;

/** True time as one instance knows it. */
export interface TrueTime {
  /** The source's clock showed this when something was sent that came at `receivedMs` on the own monotonic clock. */
  recordSource(sourceMs: number, receivedMs: number): void;
  /** True time at 0 of the source's clock, in milliseconds since the epoch; the first that is set stays. */
  setEpoch(epochMs: number): void;
  getEpoch(): number | undefined;
  /** What the source's clock shows at a moment of the own monotonic clock, late by the shortest way of what was heard of it. */
  computeSource(monotonicMs: number): number | undefined;
  /** Milliseconds since the epoch at a moment of the own monotonic clock; undefined while not known. */
  computeTrue(monotonicMs: number): number | undefined;
}

/** Builds a time that is not known yet. */
export function createTrueTime(): TrueTime {
  // Nothing is heard before it was sent, so each message bounds the offset from below.
  let offsetMs = -Infinity;
  let earlierOffsetMs = -Infinity;
  let spanSinceMs = -Infinity;
  let epoch: number | undefined;

  function computeSource(monotonicMs: number): number | undefined {
    const knownMs = Math.max(offsetMs, earlierOffsetMs);
    return Number.isFinite(knownMs) ? monotonicMs + knownMs : undefined;
  }

  return {
    recordSource(sourceMs, receivedMs) {
      if (receivedMs - spanSinceMs >= SPAN_MS) {
        earlierOffsetMs = offsetMs;
        offsetMs = -Infinity;
        spanSinceMs = receivedMs;
      }
      offsetMs = Math.max(offsetMs, sourceMs - receivedMs);
    },
    setEpoch(epochMs) {
      epoch ??= epochMs;
    },
    getEpoch: () => epoch,
    computeSource,
    computeTrue(monotonicMs) {
      const sourceMs = computeSource(monotonicMs);
      return sourceMs === undefined || epoch === undefined ? undefined : sourceMs + epoch;
    },
  };
}
