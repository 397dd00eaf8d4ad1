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
const TELL_PERIOD_MS = 400;
/** In a larger one as much less often, so that who keeps the counts hears as many datagrams a second. */
const PERIOD_FLEET = 80;
/** Each sum is told so often. */
const REPEATS = 3;
/** Nothing new is said this many periods after the last telling, so that others see how far the counts reach. */
const QUIET_PERIODS = 3;
/** Calls that began before true time was known, at most. */
const EARLY_MAX = 10_000;
/** A telling that came longer ago, in milliseconds, says nothing of whether its instance still counts. */
const HEARD_MS = 6000;

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
  record(organisation: string, begunMs: number): void;
  /** What is to be told now; undefined where nothing is. */
  advance(nowMs: number): UsageTelling | undefined;
  /** Everything is told anew: somebody keeps counts now who was not told before. */
  addKeeper(): void;
  merge(telling: UsageTelling, nowMs: number): void;
  sum(window: number): UsageCount[];
  /** Whether all that are heard have told everything that began before a moment of true time. */
  isReached(trueMs: number, nowMs: number): boolean;
}

interface Early {
  readonly organisation: string;
  readonly begunMs: number;
}

interface Reach {
  readonly reachedMs: number;
  readonly heardMs: number;
}

function formatSource({ instance, incarnation }: UsageSource): string {
  return `${instance}|${incarnation}`;
}

/** Builds a meter that has counted nothing. */
export function createUsageMeter(options: UsageMeterOptions): UsageMeter {
  const { windowMs, time, countInstances } = options;
  const source = formatSource(options.source);
  const ledger: UsageLedger = createUsageLedger();
  const early: Early[] = [];
  /** How often each sum is still to be told, by window and organisation. */
  const untold = new Map<number, Map<string, number>>();
  const reaches = new Map<string, Reach>();
  let toldMs = -Infinity;
  let quietPeriods = 0;

  function addCall({ organisation, begunMs }: Early): boolean {
    const trueMs = time.computeTrue(begunMs);
    if (trueMs === undefined) return false;
    const window = Math.floor(trueMs / windowMs);
    ledger.add(source, window, organisation);
    const repeats = untold.get(window) ?? new Map<string, number>();
    untold.set(window, repeats.set(organisation, REPEATS));
    return true;
  }

  function addEarly(): void {
    while (early.length > 0 && addCall(early[0] as Early)) early.shift();
  }

  function computePeriodMs(): number {
    return TELL_PERIOD_MS * Math.max(1, countInstances() / PERIOD_FLEET);
  }

  function takeUntold(): UsageShare[] {
    const shares = ledger.listOf(source).map(({ window, counts }) => ({
      window,
      counts: counts.filter(({ organisation }) => untold.get(window)?.has(organisation)),
    }));
    for (const [window, repeatsOf] of untold) {
      for (const [organisation, repeats] of repeatsOf) {
        if (repeats > 1) repeatsOf.set(organisation, repeats - 1);
        else repeatsOf.delete(organisation);
      }
      if (repeatsOf.size === 0) untold.delete(window);
    }
    return shares.filter(({ counts }) => counts.length > 0);
  }

  return {
    record(organisation, begunMs) {
      const call: Early = { organisation, begunMs };
      addEarly();
      if (!addCall(call) && early.length < EARLY_MAX) early.push(call);
    },
    advance(nowMs) {
      addEarly();
      const reachedMs = time.computeTrue(nowMs);
      if (reachedMs === undefined || nowMs - toldMs < computePeriodMs()) return undefined;
      toldMs = nowMs;
      const shares = takeUntold();
      quietPeriods = shares.length > 0 ? 0 : quietPeriods + 1;
      return quietPeriods % QUIET_PERIODS === 0
        ? { source: options.source, reachedMs, shares }
        : undefined;
    },
    addKeeper() {
      for (const { window, counts } of ledger.listOf(source)) {
        untold.set(window, new Map(counts.map(({ organisation }) => [organisation, REPEATS])));
      }
    },
    merge(telling, nowMs) {
      const teller = formatSource(telling.source);
      for (const share of telling.shares) ledger.merge(teller, share);
      const known = reaches.get(teller)?.reachedMs ?? -Infinity;
      reaches.set(teller, { reachedMs: Math.max(known, telling.reachedMs), heardMs: nowMs });
    },
    sum: (window) => ledger.sum(window),
    isReached(trueMs, nowMs) {
      for (const [name, { heardMs }] of reaches) {
        if (nowMs - heardMs > HEARD_MS) reaches.delete(name);
      }
      return [...reaches.values()].every(({ reachedMs }) => reachedMs >= trueMs);
    },
  };
}
