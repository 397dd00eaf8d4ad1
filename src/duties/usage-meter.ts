/**
 * Counts the calls started at this instance's endpoints, sends the counts to the aggregating
 * instances, and merges counts received from others. Performs no I/O.
 *
 * Each update contains only counts that changed. Each change is sent several times, since datagrams
 * may be lost.
 */
import type { FleetTime } from './fleet-time.js';
import { createUsageLedger } from './usage-ledger.js';
import type { UsageCount, UsageLedger, WindowCounts } from './usage-ledger.js';

/** Interval between updates in fleets of up to `BASE_FLEET_SIZE` instances. */
const UPDATE_INTERVAL_MS = 400;
/** In larger fleets the interval grows with the size, to bound the datagram rate at aggregators. */
const BASE_FLEET_SIZE = 80;
const SENDS_PER_COUNT = 3;
/** Without changes, an update is sent every so many intervals to advance the watermark. */
const EMPTY_UPDATE_INTERVALS = 3;
/** Maximum number of calls buffered until fleet time is known. */
const BUFFERED_CALLS_MAX = 10_000;
/** A source silent for this time no longer delays completeness. */
const SOURCE_TIMEOUT_MS = 6000;

/** One process lifetime of an instance. */
export interface UsageSource {
  readonly instance: string;
  /** Wall clock at process start. */
  readonly incarnation: number;
}

/** Counts sent by one source. */
export interface UsageUpdate {
  readonly source: UsageSource;
  /** All calls started at the source before this fleet time have been sent. */
  readonly watermarkMs: number;
  readonly windows: readonly WindowCounts[];
}

export interface UsageMeterOptions {
  readonly source: UsageSource;
  readonly windowMs: number;
  readonly time: FleetTime;
  readonly countInstances: () => number;
}

export interface UsageMeter {
  /** Counts a call; `startedMs` is on the monotonic clock. */
  record(organisation: string, startedMs: number): void;
  /** The update to send now; undefined if none is due. */
  advance(nowMs: number): UsageUpdate | undefined;
  /** Queues all counts of this instance again, for an aggregator that has just started. */
  postAll(): void;
  merge(update: UsageUpdate, nowMs: number): void;
  sum(window: number): UsageCount[];
  /** Whether all active sources have sent every call started before this fleet time. */
  isComplete(fleetMs: number, nowMs: number): boolean;
}

interface BufferedCall {
  readonly organisation: string;
  readonly startedMs: number;
}

interface Watermark {
  readonly watermarkMs: number;
  readonly receivedMs: number;
}

function formatSource({ instance, incarnation }: UsageSource): string {
  return `${instance}|${incarnation}`;
}

export function createUsageMeter(options: UsageMeterOptions): UsageMeter {
  const { windowMs, time, countInstances } = options;
  const source = formatSource(options.source);
  const ledger: UsageLedger = createUsageLedger();
  const bufferedCalls: BufferedCall[] = [];
  /** Remaining sends of each count, by window and organisation. */
  const pendingSends = new Map<number, Map<string, number>>();
  const watermarks = new Map<string, Watermark>();
  let lastUpdateMs = -Infinity;
  let emptyIntervals = 0;

  function addCall({ organisation, startedMs }: BufferedCall): boolean {
    const fleetMs = time.computeFleetTime(startedMs);
    if (fleetMs === undefined) return false;
    const window = Math.floor(fleetMs / windowMs);
    ledger.add(source, window, organisation);
    const sendsLeft = pendingSends.get(window) ?? new Map<string, number>();
    pendingSends.set(window, sendsLeft.set(organisation, SENDS_PER_COUNT));
    return true;
  }

  function addBufferedCalls(): void {
    while (bufferedCalls.length > 0 && addCall(bufferedCalls[0] as BufferedCall))
      bufferedCalls.shift();
  }

  function computeUpdateIntervalMs(): number {
    return UPDATE_INTERVAL_MS * Math.max(1, countInstances() / BASE_FLEET_SIZE);
  }

  function takePendingCounts(): WindowCounts[] {
    const windows = ledger.listBySource(source).map(({ window, counts }) => ({
      window,
      counts: counts.filter(({ organisation }) => pendingSends.get(window)?.has(organisation)),
    }));
    for (const [window, sendsByOrganisation] of pendingSends) {
      for (const [organisation, sends] of sendsByOrganisation) {
        if (sends > 1) sendsByOrganisation.set(organisation, sends - 1);
        else sendsByOrganisation.delete(organisation);
      }
      if (sendsByOrganisation.size === 0) pendingSends.delete(window);
    }
    return windows.filter(({ counts }) => counts.length > 0);
  }

  return {
    record(organisation, startedMs) {
      const call: BufferedCall = { organisation, startedMs };
      addBufferedCalls();
      if (!addCall(call) && bufferedCalls.length < BUFFERED_CALLS_MAX) bufferedCalls.push(call);
    },
    advance(nowMs) {
      addBufferedCalls();
      const watermarkMs = time.computeFleetTime(nowMs);
      if (watermarkMs === undefined || nowMs - lastUpdateMs < computeUpdateIntervalMs())
        return undefined;
      lastUpdateMs = nowMs;
      const windows = takePendingCounts();
      emptyIntervals = windows.length > 0 ? 0 : emptyIntervals + 1;
      return emptyIntervals % EMPTY_UPDATE_INTERVALS === 0
        ? { source: options.source, watermarkMs, windows }
        : undefined;
    },
    postAll() {
      for (const { window, counts } of ledger.listBySource(source)) {
        pendingSends.set(
          window,
          new Map(counts.map(({ organisation }) => [organisation, SENDS_PER_COUNT])),
        );
      }
    },
    merge(update, nowMs) {
      const sender = formatSource(update.source);
      for (const windowCounts of update.windows) ledger.merge(sender, windowCounts);
      const known = watermarks.get(sender)?.watermarkMs ?? -Infinity;
      watermarks.set(sender, {
        watermarkMs: Math.max(known, update.watermarkMs),
        receivedMs: nowMs,
      });
    },
    sum: (window) => ledger.sum(window),
    isComplete(fleetMs, nowMs) {
      for (const [name, { receivedMs }] of watermarks) {
        if (nowMs - receivedMs > SOURCE_TIMEOUT_MS) watermarks.delete(name);
      }
      return [...watermarks.values()].every(({ watermarkMs }) => watermarkMs >= fleetMs);
    },
  };
}
