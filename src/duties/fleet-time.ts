/**
 * Fleet time: a wall clock shared by all instances that does not depend on local wall clocks, which
 * may be stepped. It is the monotonic clock of a common source plus an agreed epoch, or is learned
 * from peers. Performs no I/O.
 *
 * Times from peers are used only at the lowest hop count available. Guards against a feedback loop
 * in which two instances adopt each other's time and drift with the faster clock.
 */

/** A clock offset is valid for one to two of these spans, which bounds the effect of drift to less than a millisecond. */
const SPAN_MS = 30_000;

/** Fleet time as sent between peers. */
export interface PeerTime {
  /** Lower bound of the time of sending, in milliseconds since the epoch. */
  readonly fleetMs: number;
  /** Number of relays; 0 if the sender follows the source itself. */
  readonly hops: number;
}

/** A time relayed this often is not relayed again. */
export const HOPS_MAX = 3;

/** Fleet time as known to one instance. */
export interface FleetTime {
  /** Records a reading of the source clock; `receivedMs` is on the local monotonic clock. */
  recordSourceTime(sourceMs: number, receivedMs: number): void;
  /** Records a time sent by a peer; `receivedMs` is on the local monotonic clock. */
  recordPeerTime(peerTime: PeerTime, receivedMs: number): void;
  /** The time to send to peers; undefined if it is unknown or has reached the hop limit. */
  buildPeerTime(monotonicMs: number): PeerTime | undefined;
  /**
   * Sets fleet time at 0 of the source clock, in milliseconds since the epoch; later calls have no
   * effect.
   */
  setEpoch(epochMs: number): void;
  getEpoch(): number | undefined;
  /**
   * Estimates the source clock at a local monotonic time; late by the smallest network delay
   * observed.
   */
  computeSourceTime(monotonicMs: number): number | undefined;
  /** Milliseconds since the epoch at a local monotonic time; undefined if unknown. */
  computeFleetTime(monotonicMs: number): number | undefined;
}

/** Offset of a remote clock from the local monotonic clock. */
interface ClockOffset {
  record(remoteMs: number, receivedMs: number): void;
  /** Minus infinity if unknown or outdated. */
  get(nowMs: number): number;
}

/** Takes the largest offset observed: network delay makes each reading a lower bound. */
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

export function createFleetTime(): FleetTime {
  const source = createOffset();
  /** By hop count of the sender. */
  const peers = Array.from({ length: HOPS_MAX }, createOffset);
  let epoch: number | undefined;

  /** The offset with the lowest hop count. */
  function getNearest(nowMs: number): { readonly offsetMs: number; readonly hops: number } {
    const sourceOffsetMs = epoch === undefined ? -Infinity : source.get(nowMs) + epoch;
    const offsets = [sourceOffsetMs, ...peers.map((each) => each.get(nowMs))];
    const hops = offsets.findIndex((offsetMs) => Number.isFinite(offsetMs));
    return hops < 0
      ? { offsetMs: -Infinity, hops: Infinity }
      : { offsetMs: offsets[hops] ?? 0, hops };
  }

  return {
    recordSourceTime: (sourceMs, receivedMs) => source.record(sourceMs, receivedMs),
    recordPeerTime({ fleetMs, hops }, receivedMs) {
      peers[hops]?.record(fleetMs, receivedMs);
    },
    buildPeerTime(monotonicMs) {
      const { offsetMs, hops } = getNearest(monotonicMs);
      return hops < HOPS_MAX ? { fleetMs: monotonicMs + offsetMs, hops } : undefined;
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
