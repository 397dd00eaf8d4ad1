/**
 * Knows the time of day without trusting the own wall clock, which may be stepped: by the source's steady
 * clock, which is one for all instances, and one moment of it that the fleet has agreed on, or by what peers
 * tell of it. Free of I/O.
 *
 * What was passed on is taken from those alone that are nearer to the source. Guards against a fleet whose time
 * runs with its fastest clock: two instances that took each other's would each add what its own gains.
 */

/** What was heard of a clock counts for one to two of these, in milliseconds: clocks run apart by less than a millisecond meanwhile. */
const SPAN_MS = 30_000;

/** True time as an instance tells it. */
export interface ToldTime {
  /** The earliest that it can be as this is sent, in milliseconds since the epoch. */
  readonly trueMs: number;
  /** How many instances passed it on: 0 where the teller has it from the source. */
  readonly hops: number;
}

/** A time that was passed on as often is not passed on any more. */
export const HOPS_MAX = 3;

/** True time as one instance knows it. */
export interface TrueTime {
  /** The source's clock showed this when something was sent that came at `receivedMs` on the own monotonic clock. */
  recordSource(sourceMs: number, receivedMs: number): void;
  /** It was this when a peer sent something that came at `receivedMs`. */
  recordTold(peerTime: ToldTime, receivedMs: number): void;
  /** What to tell peers at a moment of the own monotonic clock; undefined while not known, or known from too far. */
  buildTold(monotonicMs: number): ToldTime | undefined;
  /** True time at 0 of the source's clock, in milliseconds since the epoch; the first that is set stays. */
  setEpoch(epochMs: number): void;
  getEpoch(): number | undefined;
  /** What the source's clock shows at a moment of the own monotonic clock, late by the shortest way of what was heard of it. */
  computeSourceTime(monotonicMs: number): number | undefined;
  /** Milliseconds since the epoch at a moment of the own monotonic clock; undefined while not known. */
  computeFleetTime(monotonicMs: number): number | undefined;
}

/** How far another clock is ahead of the own monotonic one. */
interface ClockOffset {
  record(remoteMs: number, receivedMs: number): void;
  /** Minus infinity while unknown, or heard too long ago. */
  get(nowMs: number): number;
}

/** Nothing is heard before it was sent, so that each message bounds the offset from below. */
function createOffset(): ClockOffset {
  let offsetMs = -Infinity;
  let earlierOffsetMs = -Infinity;
  let spanStartMs = -Infinity;
  let updatedMs = -Infinity;
  return {
    record(remoteMs, receivedMs) {
      if (receivedMs - spanStartMs >= SPAN_MS) {
        earlierOffsetMs = offsetMs;
        offsetMs = -Infinity;
        spanStartMs = receivedMs;
      }
      updatedMs = receivedMs;
      offsetMs = Math.max(offsetMs, remoteMs - receivedMs);
    },
    get: (nowMs) => (nowMs - updatedMs > SPAN_MS ? -Infinity : Math.max(offsetMs, earlierOffsetMs)),
  };
}

/** Builds a time that is not known yet. */
export function createTrueTime(): TrueTime {
  const source = createOffset();
  /** By how often it was passed on: 1 where the teller had it from the source. */
  const peers = Array.from({ length: HOPS_MAX }, createOffset);
  let epoch: number | undefined;

  /** Of what is known, what came by the fewest instances. */
  function getNearest(nowMs: number): { readonly offsetMs: number; readonly hops: number } {
    const sourceOffsetMs = epoch === undefined ? -Infinity : source.get(nowMs) + epoch;
    const offsets = [sourceOffsetMs, ...peers.map((each) => each.get(nowMs))];
    const hops = offsets.findIndex((offsetMs) => Number.isFinite(offsetMs));
    return hops < 0
      ? { offsetMs: -Infinity, hops: Infinity }
      : { offsetMs: offsets[hops] ?? 0, hops };
  }

  return {
    recordSource: (sourceMs, receivedMs) => source.record(sourceMs, receivedMs),
    recordTold({ trueMs: fleetMs, hops }, receivedMs) {
      peers[hops]?.record(fleetMs, receivedMs);
    },
    buildTold(monotonicMs) {
      const { offsetMs, hops } = getNearest(monotonicMs);
      return hops < HOPS_MAX ? { trueMs: monotonicMs + offsetMs, hops } : undefined;
    },
    setEpoch(epochMs) {
      epoch ??= epochMs;
    },
    getEpoch: () => epoch,
    computeSourceTime(monotonicMs) {
      const offsetMs = source.get(monotonicMs);
      return Number.isFinite(offsetMs) ? monotonicMs + offsetMs : undefined;
    },
    computeFleetTime(monotonicMs) {
      const { offsetMs } = getNearest(monotonicMs);
      return Number.isFinite(offsetMs) ? monotonicMs + offsetMs : undefined;
    },
  };
}
