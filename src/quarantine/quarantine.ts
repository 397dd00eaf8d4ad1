/**
 * Stops requests that crash the endpoints running them from being sent again, by any instance and
 * under any request id. Crashes count against the contents that were running, and instances share
 * this evidence. Does no I/O.
 */
import { isNotRun } from '../calls/attempt-policy.js';
import type { AttemptEnd, RoutedCall } from '../calls/call-messages.js';
import { hashStartId } from '../placement/remote-loads.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';
import { hashName } from '../utils/hash.js';
import { createCaseLedger } from './case-ledger.js';
import type { CaseChange, CaseReport } from './case-ledger.js';
import { createCaseOutbox } from './case-outbox.js';
import { STANDING, computeStanding } from './crash-case.js';
import type { CrashCase, Standing } from './crash-case.js';
import { createCrashDetector } from './crash-detector.js';
import type { ConnectionResult, InterruptedAnswer, EndpointCrash } from './crash-detector.js';
import { listPartSubjects } from './crash-subject.js';
import { createOrganisationBackoff } from './organisation-backoff.js';
import { createTrials } from './trials.js';
import type { TakeTrialLease } from './trials.js';

/** Long, since a retry cannot succeed before an operator has released the content. */
const CONDEMNED_RETRY_MS = 60 * 60 * 1000;

/**
 * Delay between the latest evidence and the first refusal. Guards against refusing a popular
 * request after several endpoints that ran it failed together: copies on other endpoints complete
 * in this time and clear it.
 */
const REFUSAL_DELAY_MS = 3000;

/** Expiry scans all cases, so it runs rarely. */
const EXPIRY_PERIOD_MS = 10_000;
/**
 * Silence after which an abandoned answer may have been interrupted by a crash: the longest pause
 * that a route may declare.
 */
const SILENCE_MIN_MS = 1000;

/** Callbacks for logs and metrics. */
export interface QuarantineObserver {
  onCrash(crash: EndpointCrash): void;
  onChanged(change: CaseChange, source: string): void;
  /** `subject` is undefined if the call was refused because of its organisation. */
  onRefused(call: RoutedCall, subject: CrashCase | undefined): void;
}

export interface QuarantineOptions {
  /** Opens a separate connection to an endpoint; never rejects. */
  readonly checkConnection: (address: string) => Promise<ConnectionResult>;
  /** The endpoint registered under an id. */
  readonly findEndpoint: (id: string) => RegisteredEndpoint | undefined;
  readonly takeTrialLease: TakeTrialLease;
  /**
   * Whether the endpoint may have crashed because it had no room, which says nothing about the
   * requests that it ran.
   */
  readonly mayLackRoom: (endpoint: RegisteredEndpoint) => boolean;
  readonly getNow: () => number;
  readonly observer: QuarantineObserver;
}

/** Decision on a call that is about to be sent. */
export type AdmissionDecision =
  /** `isAlone`: send it where a crash does the least harm. */
  | { readonly kind: 'send'; readonly isAlone: boolean }
  /** Keep the call queued until more is known. */
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse'; readonly failure: RequestFailure };

/** Receives the events of one attempt. */
export interface AttemptWatch {
  /** The endpoint began to answer. */
  recordStarted(): void;
  /** More of the answer arrived. */
  recordEvent(): void;
  recordEnd(end: AttemptEnd): void;
  /** This instance abandoned the attempt. */
  recordCancelled(): void;
}

export interface Quarantine {
  check(call: RoutedCall): AdmissionDecision;
  /** Whether the call would be refused. */
  isCondemned(call: RoutedCall): boolean;
  /** Must be called when the call is sent to the endpoint. */
  startWatch(call: RoutedCall, endpoint: RegisteredEndpoint): AttemptWatch;
  /** Whether a trial runs on the endpoint, so that other calls must avoid it. */
  isInTrial(endpoint: RegisteredEndpoint): boolean;
  /** The registry reports that this start of the endpoint has ended. */
  recordEnded(endpoint: RegisteredEndpoint): void;
  /** Returns the cases to report to peers now. */
  takeReports(): CaseReport[];
  merge(reports: readonly CaseReport[], source: string): void;
  list(): readonly CrashCase[];
  /** Releases a content for an operator; false if no crashes count against it. */
  release(content: string): boolean;
  advance(): void;
}

const SEND: AdmissionDecision = { kind: 'send', isAlone: false };
const SEND_ALONE: AdmissionDecision = { kind: 'send', isAlone: true };
const WAIT: AdmissionDecision = { kind: 'wait' };

function buildContentRefusal({ content, crashes }: CrashCase): AdmissionDecision {
  return {
    kind: 'refuse',
    failure: {
      type: FAILURE.Quarantined,
      message: `${crashes.size} endpoints ended while they ran this request; change it, or ask the operators to release ${content}`,
      outcome: OUTCOME.NotRun,
      retryAfterMs: CONDEMNED_RETRY_MS,
    },
  };
}

function buildOrganisationRefusal(remainingMs: number): AdmissionDecision {
  return {
    kind: 'refuse',
    failure: {
      type: FAILURE.Quarantined,
      message:
        'endpoints keep ending under requests of this organisation; find those that are quarantined and stop sending them',
      outcome: OUTCOME.NotRun,
      retryAfterMs: remainingMs,
    },
  };
}

export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { getNow, observer } = options;
  const ledger = createCaseLedger();
  const outbox = createCaseOutbox();
  const backoff = createOrganisationBackoff();
  let lastExpiryMs = getNow();
  const trials = createTrials({
    takeLease: options.takeTrialLease,
    getNow,
    onUpdate: (content) => outbox.recordUpdate(content),
  });

  function recordChange(change: CaseChange | undefined, source: string): void {
    if (change === undefined) return;
    outbox.recordUpdate(change.subject.content);
    backoff.recordChange(change);
    observer.onChanged(change, source);
  }

  const detector = createCrashDetector({
    checkConnection: options.checkConnection,
    onCrash(crash) {
      observer.onCrash(crash);
      const start = hashStartId(crash.endpoint.startId);
      for (const { content, organisation, sentMs, interruptedMs } of crash.answers) {
        const found = { content, organisation, start, sentMs, crashedMs: interruptedMs };
        recordChange(ledger.recordCrash(found, getNow()), 'own');
      }
    },
  });

  /** Skips computing the content's hash while there are no cases. */
  function findCase(call: RoutedCall): CrashCase | undefined {
    return ledger.isEmpty() ? undefined : ledger.find(call.contentId);
  }

  function computeCurrentStanding(subject: CrashCase): Standing {
    return computeStanding(subject, detector.countPendingChecks(subject.content));
  }

  function isRefusalDue({ changedMs }: CrashCase): boolean {
    return getNow() - changedMs >= REFUSAL_DELAY_MS;
  }

  /** False while connection checks are pending, since they may decide the case. */
  function isTrialDue(subject: CrashCase): boolean {
    return detector.countPendingChecks(subject.content) === 0 && trials.isDue(subject);
  }

  function checkOrganisation(call: RoutedCall): AdmissionDecision {
    const { organisation = '' } = call;
    const remainingMs = backoff.computeRemainingMs(hashName(organisation), getNow());
    if (remainingMs === 0) return SEND;
    observer.onRefused(call, undefined);
    return buildOrganisationRefusal(remainingMs);
  }

  function check(call: RoutedCall): AdmissionDecision {
    if (ledger.isEmpty()) return SEND;
    const subject = findCase(call);
    if (subject === undefined) return checkOrganisation(call);
    subject.lastActiveMs = getNow();
    switch (computeCurrentStanding(subject)) {
      case STANDING.Condemned:
        if (!isRefusalDue(subject)) return WAIT;
        observer.onRefused(call, subject);
        return buildContentRefusal(subject);
      case STANDING.LastTrial:
        return isTrialDue(subject) ? SEND_ALONE : WAIT;
      default:
        return checkOrganisation(call);
    }
  }

  function startTrial(call: RoutedCall, start: EndpointKey): CrashCase | undefined {
    const subject = findCase(call);
    if (subject === undefined || computeStanding(subject) !== STANDING.LastTrial) return undefined;
    trials.start(subject, start);
    return subject;
  }

  function stopTrial(subject: CrashCase | undefined, mayHaveRun: boolean): void {
    if (subject !== undefined) trials.stop(subject, mayHaveRun);
  }

  /** The endpoint of an attempt, unless that start has been replaced or is leaving as planned. */
  function findActiveStart({ id, startId }: RegisteredEndpoint): RegisteredEndpoint | undefined {
    const endpoint = options.findEndpoint(id);
    return endpoint?.startId === startId && !endpoint.isLeaving ? endpoint : undefined;
  }

  function buildInterruptedAnswer(call: RoutedCall, sentMs: number): InterruptedAnswer {
    return {
      content: call.contentId,
      parts: listPartSubjects(call),
      organisation: hashName(call.organisation ?? ''),
      sentMs,
      interruptedMs: getNow(),
    };
  }

  function recordCompleted(call: RoutedCall): void {
    const subject = findCase(call);
    if (subject !== undefined) recordChange(ledger.release(subject.content, getNow()), 'own');
  }

  function recordAlive(start: EndpointKey, sentMs: number): void {
    if (ledger.isEmpty()) return;
    for (const change of ledger.releaseStart(start, sentMs, getNow())) recordChange(change, 'own');
  }

  function startWatch(call: RoutedCall, endpoint: RegisteredEndpoint): AttemptWatch {
    const sentMs = getNow();
    const start = hashStartId(endpoint.startId);
    const trialCase = startTrial(call, start);
    let lastEventMs = sentMs;
    let hasEnded = false;

    function findSuspect(): RegisteredEndpoint | undefined {
      return options.mayLackRoom(endpoint) ? undefined : findActiveStart(endpoint);
    }

    function recordInterrupted(): void {
      const active = findSuspect();
      if (active !== undefined)
        detector.recordInterrupted(active, buildInterruptedAnswer(call, sentMs));
    }

    function recordAbandoned(): void {
      if (getNow() - lastEventMs < SILENCE_MIN_MS) return;
      const active = findSuspect();
      if (active !== undefined)
        detector.recordAbandoned(active, buildInterruptedAnswer(call, sentMs));
    }

    return {
      recordStarted() {
        lastEventMs = getNow();
        recordAlive(start, sentMs);
      },
      recordEvent() {
        lastEventMs = getNow();
      },
      recordEnd(end) {
        hasEnded = true;
        stopTrial(trialCase, !isNotRun(end));
        switch (end.kind) {
          case 'broken':
            recordInterrupted();
            break;
          case 'answered':
          case 'stream_ended':
            recordAlive(start, sentMs);
            recordCompleted(call);
            break;
          default:
            break;
        }
      },
      recordCancelled() {
        // A call can be cancelled between attempts, when the last attempt has already ended.
        if (hasEnded) return;
        hasEnded = true;
        stopTrial(trialCase, true);
        recordAbandoned();
      },
    };
  }

  return {
    check,
    isCondemned(call) {
      const subject = findCase(call);
      if (subject === undefined || !isRefusalDue(subject)) return false;
      return computeCurrentStanding(subject) === STANDING.Condemned;
    },
    startWatch,
    isInTrial: ({ startId }) => trials.hasAny() && trials.isInTrial(hashStartId(startId)),
    recordEnded: (endpoint) => detector.recordEnded(endpoint),
    takeReports: () => (ledger.isEmpty() ? [] : outbox.take(ledger.list(), getNow())),
    merge(reports, source) {
      for (const report of reports) {
        recordChange(ledger.merge(report, getNow()), source);
        const { trial } = ledger.find(report.content) ?? {};
        if (trial !== undefined) trials.record(trial);
      }
    },
    list: () => ledger.list(),
    release(content) {
      const change = ledger.release(content, getNow());
      recordChange(change, 'operator');
      return change !== undefined;
    },
    advance() {
      const nowMs = getNow();
      detector.advance(nowMs);
      trials.advance();
      if (nowMs - lastExpiryMs < EXPIRY_PERIOD_MS) return;
      lastExpiryMs = nowMs;
      ledger.advance(nowMs);
    },
  };
}
