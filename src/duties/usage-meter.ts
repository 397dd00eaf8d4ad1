/**
 * Counts the calls that began at this instance's endpoints, tells the instances that keep the counts of
 * all, and keeps them where this one is told. Free of I/O.
 *
 * The load it answers: each call changes a count, at hundreds of instances and tens of thousands of
 * organisations. Sums so far are told a few times a second, so that an instance that dies takes half a
 * second of its counts with it; only sums that changed are told, and each three times, as datagrams are lost.
 */
import type { TrueTime } from './true-time.js';
import { createUsageLedger } from './usage-ledger.js';
import type { UsageCount, UsageLedger, UsageShare } from './usage-ledger.js';

/** What is new is told this often, in milliseconds, in a fleet of up to `PERIOD_FLEET` instances. */
const UPDATE_INTERVAL_MS = 400;
/** In a larger one as much less often, so that who keeps the counts hears as many datagrams a second. */
const BASE_FLEET_SIZE = 80;
/** Each sum is told so often. */
const SENDS_PER_COUNT = 3;
/** Nothing new is said this many periods after the last telling, so that others see how far the counts reach. */
const EMPTY_UPDATE_INTERVALS = 3;
/** Calls that began before true time was known, at most. */
const BUFFERED_CALLS_MAX = 10_000;
/** A telling that came longer ago, in milliseconds, says nothing of whether its instance still counts. */
const SOURCE_TIMEOUT_MS = 6000;

/** One start of an instance. */
export interface UsageSource {
  readonly instance: string;
  /** The wall clock at the start. */
  readonly incarnation: number;
}

/** What an instance tells of its counts. */
export interface UsageTelling {
  readonly source: UsageSource;
  /** All that began there before this moment of true time is told. */
  readonly reachedMs: number;
  readonly shares: readonly UsageShare[];
}

/** What a meter is built on. */
export interface UsageMeterOptions {
  /** This start of this instance. */
  readonly source: UsageSource;
  /** How long a window is, in milliseconds. */
  readonly windowMs: number;
  readonly time: TrueTime;
  readonly countInstances: () => number;
}

/** The counts of one instance, and of all where it is told. */
export interface UsageMeter {
  /** An endpoint began a call of the organisation at a moment of the monotonic clock. */
  record(organisation: string, startedMs: number): void;
  /** What is to be told now; undefined where nothing is. */
  advance(nowMs: number): UsageTelling | undefined;
  /** Everything is told anew: somebody keeps counts now who was not told before. */
  addKeeper(): void;
  merge(update: UsageTelling, nowMs: number): void;
  sum(window: number): UsageCount[];
  /** Whether all that are heard have told everything that began before a moment of true time. */
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

/** Builds a meter that has counted nothing. */
export function createUsageMeter(options: UsageMeterOptions): UsageMeter {
  const { windowMs, time, countInstances } = options;
  const source = formatSource(options.source);
  const ledger: UsageLedger = createUsageLedger();
  const bufferedCalls: BufferedCall[] = [];
  /** How often each sum is still to be told, by window and organisation. */
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

  function takePendingCounts(): UsageShare[] {
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
        ? { source: options.source, reachedMs: watermarkMs, shares: windows }
        : undefined;
    },
    addKeeper() {
      for (const { window, counts } of ledger.listBySource(source)) {
        pendingSends.set(
          window,
          new Map(counts.map(({ organisation }) => [organisation, SENDS_PER_COUNT])),
        );
      }
    },
    merge(update, nowMs) {
      const sender = formatSource(update.source);
      for (const windowCounts of update.shares) ledger.merge(sender, windowCounts);
      const known = watermarks.get(sender)?.watermarkMs ?? -Infinity;
      watermarks.set(sender, { watermarkMs: Math.max(known, update.reachedMs), receivedMs: nowMs });
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
