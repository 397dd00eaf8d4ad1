/**
 * Sees to it that a content which may end one more endpoint runs once in the whole fleet, and that others
 * stay away from that endpoint meanwhile. Free of I/O.
 *
 * Guards against copies that come to many instances at one moment: each would run its own, and a pool
 * would lose as many endpoints as there are copies. Tellings take some hundred milliseconds, so that only
 * a lease taken under a condition at the source decides who runs it. While the source cannot be reached,
 * nobody does.
 */
import type { ContentId } from '../calls/content-id.js';
import type { EndpointKey } from '../placement/told-loads.js';
import type { CrashCase, Trial } from './crash-case.js';

/** A trial that is told counts this long without a renewal, in milliseconds: some tellings may be lost. */
const TOLD_LEASE_MS = 1500;
/** It is renewed this often, in milliseconds. */
const RENEWAL_MS = 500;
/** After a lease was refused, or could not be asked for, the next question waits this long, in milliseconds. */
const ASK_PERIOD_MS = 500;
/** A lease that nobody used is given up after this long, in milliseconds: its call has left meanwhile. */
const UNUSED_MAX_MS = 1000;

/** Takes the lease of a content; false where another instance has it, or nobody can tell. */
export type TakeTrialLease = (content: ContentId) => Promise<boolean>;

/** What trials are built on. */
export interface TrialsOptions {
  readonly takeLease: TakeTrialLease;
  readonly getNow: () => number;
  /** Others are to be told of the content's trial. */
  readonly onNews: (content: ContentId) => void;
}

/** The trials that one instance runs and knows of. */
export interface Trials {
  /** Whether a call may run the content now; asks for the lease where nobody seems to have it. */
  isDue(subject: CrashCase): boolean;
  /** The content is sent to an endpoint. */
  start(subject: CrashCase, start: EndpointKey): void;
  /** `isRun`: an endpoint may have begun it; else the lease is in hand again. */
  stop(subject: CrashCase, isRun: boolean): void;
  /** Another instance told of a trial. */
  record(trial: Trial): void;
  /** Whether any endpoint is: asked at every choice, before an endpoint's start is hashed. */
  hasAny(): boolean;
  /** Whether an endpoint is in use for a trial. */
  isInTrial(start: EndpointKey): boolean;
  advance(): void;
}

/** A lease that is asked for or in hand. */
interface Lease {
  readonly askedMs: number;
  takenMs: number | undefined;
}

/** Builds trials of nothing. */
export function createTrials({ takeLease, getNow, onNews }: TrialsOptions): Trials {
  const leases = new Map<ContentId, Lease>();
  const running = new Map<CrashCase, EndpointKey>();
  /** Endpoints where trials run, here or elsewhere, and until when. */
  const untilMsOf = new Map<EndpointKey, number>();
  let renewedMs = -Infinity;

  async function takeLeaseOf(content: ContentId): Promise<void> {
    const lease: Lease = { askedMs: getNow(), takenMs: undefined };
    leases.set(content, lease);
    if (await takeLease(content)) lease.takenMs = getNow();
  }

  /** A call that still waits for room keeps the lease by asking for it. */
  function isInHand(content: ContentId): boolean {
    const lease = leases.get(content);
    if (lease?.takenMs === undefined || getNow() - lease.takenMs > UNUSED_MAX_MS) return false;
    lease.takenMs = getNow();
    return true;
  }

  function setTrial(subject: CrashCase, start: EndpointKey): void {
    const trial: Trial = { start, untilMs: getNow() + TOLD_LEASE_MS };
    subject.trial = trial;
    untilMsOf.set(start, trial.untilMs);
    onNews(subject.content);
  }

  function updateRunning(nowMs: number): void {
    if (running.size === 0 || nowMs - renewedMs < RENEWAL_MS) return;
    renewedMs = nowMs;
    for (const [subject, start] of running) setTrial(subject, start);
  }

  return {
    isDue({ content, trial }) {
      const nowMs = getNow();
      if (trial !== undefined && trial.untilMs > nowMs) return false;
      if (isInHand(content)) return true;
      const askedMs = leases.get(content)?.askedMs ?? -Infinity;
      if (nowMs - askedMs >= ASK_PERIOD_MS) takeLeaseOf(content).catch(() => undefined);
      return false;
    },
    start(subject, start) {
      leases.delete(subject.content);
      running.set(subject, start);
      setTrial(subject, start);
    },
    stop(subject, isRun) {
      const start = running.get(subject);
      if (start === undefined) return;
      running.delete(subject);
      if (!isRun) leases.set(subject.content, { askedMs: getNow(), takenMs: getNow() });
      untilMsOf.delete(start);
      subject.trial = undefined;
    },
    record({ start, untilMs }) {
      untilMsOf.set(start, untilMs);
    },
    hasAny: () => untilMsOf.size > 0,
    isInTrial: (start) => (untilMsOf.get(start) ?? 0) > getNow(),
    advance() {
      const nowMs = getNow();
      updateRunning(nowMs);
      for (const [start, untilMs] of untilMsOf) if (untilMs <= nowMs) untilMsOf.delete(start);
      for (const [content, { askedMs, takenMs }] of leases) {
        const usedMs = Math.max(askedMs, takenMs ?? 0);
        if (nowMs - usedMs > ASK_PERIOD_MS + UNUSED_MAX_MS) leases.delete(content);
      }
    },
  };
}
