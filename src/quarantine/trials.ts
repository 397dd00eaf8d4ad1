/**
 * Allows a content that may crash its endpoint one run in the whole fleet, and keeps other calls
 * away from that endpoint. Does no I/O. Guards against copies that reach many instances at once:
 * reports between peers are too slow to prevent parallel runs, so a lease from the source decides,
 * and without it nothing runs.
 */
import type { ContentId } from '../calls/content-id.js';
import type { EndpointKey } from '../placement/told-loads.js';
import type { CrashCase, Trial } from './crash-case.js';

/** Outlasts the loss of a renewal or two. */
const TOLD_LEASE_MS = 1500;
const RENEWAL_MS = 500;
/** Interval between requests for a lease. */
const ASK_PERIOD_MS = 500;
/** Time after which an unused lease is dropped, because its call has left. */
const UNUSED_MAX_MS = 1000;

/** Takes the lease on a content's trial; false if it is held or cannot be obtained. */
export type TakeTrialLease = (content: ContentId) => Promise<boolean>;

export interface TrialsOptions {
  readonly takeLease: TakeTrialLease;
  readonly getNow: () => number;
  /** The content's trial changed and must be reported to peers. */
  readonly onNews: (content: ContentId) => void;
}

/** Trials run by this instance or reported by its peers. */
export interface Trials {
  /** Whether a call may run the content now; requests the lease if no trial is known. */
  isDue(subject: CrashCase): boolean;
  start(subject: CrashCase, start: EndpointKey): void;
  /** Without `isRun`, no endpoint began the content, and the lease is kept for another try. */
  stop(subject: CrashCase, isRun: boolean): void;
  /** Records a trial that a peer reported. */
  record(trial: Trial): void;
  /** Cheap check that saves callers from hashing every endpoint's start. */
  hasAny(): boolean;
  isInTrial(start: EndpointKey): boolean;
  advance(): void;
}

/** A lease that was requested; held once `takenMs` is set. */
interface Lease {
  readonly askedMs: number;
  takenMs: number | undefined;
}

export function createTrials({ takeLease, getNow, onNews }: TrialsOptions): Trials {
  const leases = new Map<ContentId, Lease>();
  const running = new Map<CrashCase, EndpointKey>();
  /** Expiry times of trials by endpoint, including those of other instances. */
  const untilMsOf = new Map<EndpointKey, number>();
  let renewedMs = -Infinity;

  async function takeLeaseOf(content: ContentId): Promise<void> {
    const lease: Lease = { askedMs: getNow(), takenMs: undefined };
    leases.set(content, lease);
    if (await takeLease(content)) lease.takenMs = getNow();
  }

  /** Also renews the lease, since the asking call still waits for capacity. */
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
