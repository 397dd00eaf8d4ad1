/**
 * Allows a content that may crash its endpoint one run in the whole fleet, and keeps other calls
 * away from that endpoint. Does no I/O. Guards against copies that reach many instances at once:
 * reports between peers are too slow to prevent parallel runs, so a lease from the source decides,
 * and without it nothing runs.
 */
import type { ContentId } from '../calls/content-id.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { CrashCase, Trial } from './crash-case.js';

/** Outlasts the loss of a renewal or two. */
const TRIAL_LEASE_MS = 1500;
const RENEWAL_PERIOD_MS = 500;
/** Interval between requests for a lease. */
const REQUEST_PERIOD_MS = 500;
/** Time after which an unused lease is dropped, because its call has left. */
const UNUSED_LEASE_MAX_MS = 1000;

/** Takes the lease on a content's trial; false if it is held or cannot be obtained. */
export type TakeTrialLease = (content: ContentId) => Promise<boolean>;

export interface TrialsOptions {
  readonly takeLease: TakeTrialLease;
  readonly getNow: () => number;
  /** The content's trial changed and must be reported to peers. */
  readonly onUpdate: (content: ContentId) => void;
}

/** Trials run by this instance or reported by its peers. */
export interface Trials {
  /** Whether a call may run the content now; requests the lease if no trial is known. */
  isDue(subject: CrashCase): boolean;
  start(subject: CrashCase, start: EndpointKey): void;
  /** Without `mayHaveRun`, no endpoint began the content, and the lease is kept for another try. */
  stop(subject: CrashCase, mayHaveRun: boolean): void;
  /** Records a trial that a peer reported. */
  record(trial: Trial): void;
  /** Cheap check that saves callers from hashing every endpoint's start. */
  hasAny(): boolean;
  isInTrial(start: EndpointKey): boolean;
  advance(): void;
}

/** A lease that was requested; held once `takenMs` is set. */
interface Lease {
  readonly requestedMs: number;
  takenMs: number | undefined;
}

export function createTrials({ takeLease, getNow, onUpdate }: TrialsOptions): Trials {
  const leases = new Map<ContentId, Lease>();
  const running = new Map<CrashCase, EndpointKey>();
  /** Expiry times of trials by endpoint, including those of other instances. */
  const expiryByStart = new Map<EndpointKey, number>();
  let renewedMs = -Infinity;

  async function takeLeaseFor(content: ContentId): Promise<void> {
    const lease: Lease = { requestedMs: getNow(), takenMs: undefined };
    leases.set(content, lease);
    if (await takeLease(content)) lease.takenMs = getNow();
  }

  /** Also renews the lease, since the asking call still waits for capacity. */
  function isLeaseHeld(content: ContentId): boolean {
    const lease = leases.get(content);
    if (lease?.takenMs === undefined || getNow() - lease.takenMs > UNUSED_LEASE_MAX_MS)
      return false;
    lease.takenMs = getNow();
    return true;
  }

  function setTrial(subject: CrashCase, start: EndpointKey): void {
    const trial: Trial = { start, expiresMs: getNow() + TRIAL_LEASE_MS };
    subject.trial = trial;
    expiryByStart.set(start, trial.expiresMs);
    onUpdate(subject.content);
  }

  function updateRunning(nowMs: number): void {
    if (running.size === 0 || nowMs - renewedMs < RENEWAL_PERIOD_MS) return;
    renewedMs = nowMs;
    for (const [subject, start] of running) setTrial(subject, start);
  }

  return {
    isDue({ content, trial }) {
      const nowMs = getNow();
      if (trial !== undefined && trial.expiresMs > nowMs) return false;
      if (isLeaseHeld(content)) return true;
      const requestedMs = leases.get(content)?.requestedMs ?? -Infinity;
      if (nowMs - requestedMs >= REQUEST_PERIOD_MS) takeLeaseFor(content).catch(() => undefined);
      return false;
    },
    start(subject, start) {
      leases.delete(subject.content);
      running.set(subject, start);
      setTrial(subject, start);
    },
    stop(subject, mayHaveRun) {
      const start = running.get(subject);
      if (start === undefined) return;
      running.delete(subject);
      if (!mayHaveRun) leases.set(subject.content, { requestedMs: getNow(), takenMs: getNow() });
      expiryByStart.delete(start);
      subject.trial = undefined;
    },
    record({ start, expiresMs }) {
      expiryByStart.set(start, expiresMs);
    },
    hasAny: () => expiryByStart.size > 0,
    isInTrial: (start) => (expiryByStart.get(start) ?? 0) > getNow(),
    advance() {
      const nowMs = getNow();
      updateRunning(nowMs);
      for (const [start, expiresMs] of expiryByStart)
        if (expiresMs <= nowMs) expiryByStart.delete(start);
      for (const [content, { requestedMs, takenMs }] of leases) {
        const usedMs = Math.max(requestedMs, takenMs ?? 0);
        if (nowMs - usedMs > REQUEST_PERIOD_MS + UNUSED_LEASE_MAX_MS) leases.delete(content);
      }
    },
  };
}
