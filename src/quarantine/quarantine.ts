/**
 * Stops requests that crash the endpoints running them from being sent again, by any instance and
 * under any request id. Crashes count against the contents that were running and against the parts
 * of their prompts, and instances share this evidence. Does no I/O.
 */
import { isNotRun } from '../calls/attempt-policy.js';
import type { AttemptEnd, RoutedCall } from '../calls/call-messages.js';
import { hashStartId } from '../placement/remote-loads.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { RequestFailure } from '../types/outcomes.js';
import { hashName } from '../utils/hash.js';
import { createCallStanding } from './call-standing.js';
import { createCaseLedger } from './case-ledger.js';
import type { CaseChange, CaseReport } from './case-ledger.js';
import { createCaseOutbox } from './case-outbox.js';
import { STANDING } from './crash-case.js';
import type { CrashCase } from './crash-case.js';
import { createCrashDetector } from './crash-detector.js';
import type { ConnectionResult, InterruptedAnswer, EndpointCrash } from './crash-detector.js';
import { isPartSubject, listPartSubjects } from './crash-subject.js';
import type { SubjectId } from './crash-subject.js';
import { createOrganisationBackoff } from './organisation-backoff.js';
import { buildCaseRefusal, buildOrganisationRefusal } from './refusals.js';
import { createSoundParts } from './sound-parts.js';
import { createTrials } from './trials.js';
import type { TakeTrialLease } from './trials.js';

/**
 * Delay between the latest evidence and the first refusal. Guards against refusing a popular
 * request after several endpoints that ran it failed together: copies on other endpoints complete
 * in this time and clear it.
 */
const REFUSAL_DELAY_MS = 3000;

/** Time from the first event of an answer after which it speaks for the parts of its prompt. */
const SOUND_RUN_MS = 2000;
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

export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { getNow, observer } = options;
  const ledger = createCaseLedger();
  const outbox = createCaseOutbox();
  const backoff = createOrganisationBackoff();
  const soundParts = createSoundParts();
  let lastExpiryMs = getNow();
  const trials = createTrials({
    takeLease: options.takeTrialLease,
    getNow,
    onUpdate: (content) => outbox.recordUpdate(content),
  });

  function recordChange(change: CaseChange | undefined, source: string): void {
    if (change === undefined) return;
    outbox.recordUpdate(change.subject.content);
    // Parts come from many callers, whose other requests are served.
    if (!isPartSubject(change.subject.content)) backoff.recordChange(change);
    observer.onChanged(change, source);
  }

  const detector = createCrashDetector({
    checkConnection: options.checkConnection,
    onCrash(crash) {
      observer.onCrash(crash);
      const start = hashStartId(crash.endpoint.startId);
      for (const { content, parts, organisation, sentMs, interruptedMs } of crash.answers) {
        const accused = parts.filter((part) => !soundParts.takeExcuse(part, start, getNow()));
        for (const subject of [content, ...accused]) {
          const found = { content: subject, organisation, start, sentMs, crashedMs: interruptedMs };
          recordChange(ledger.recordCrash(found, getNow()), 'own');
        }
      }
    },
  });

  const { listCases, listOfStanding } = createCallStanding({ ledger, detector, getNow });

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
    return { kind: 'refuse', failure: buildOrganisationRefusal(remainingMs) };
  }

  function check(call: RoutedCall): AdmissionDecision {
    const cases = listCases(call);
    for (const subject of cases) subject.lastActiveMs = getNow();
    if (cases.length === 0) return ledger.isEmpty() ? SEND : checkOrganisation(call);
    const [condemned] = listOfStanding(call, STANDING.Condemned);
    if (condemned !== undefined) {
      if (!isRefusalDue(condemned)) return WAIT;
      observer.onRefused(call, condemned);
      return { kind: 'refuse', failure: buildCaseRefusal(condemned) };
    }
    const trialsDue = listOfStanding(call, STANDING.LastTrial).map(isTrialDue);
    if (trialsDue.length === 0) return checkOrganisation(call);
    return trialsDue.every(Boolean) ? SEND_ALONE : WAIT;
  }

  function startTrials(call: RoutedCall, start: EndpointKey): readonly CrashCase[] {
    const subjects = listOfStanding(call, STANDING.LastTrial);
    for (const subject of subjects) trials.start(subject, start);
    return subjects;
  }

  function stopTrials(subjects: readonly CrashCase[], mayHaveRun: boolean): void {
    for (const subject of subjects) trials.stop(subject, mayHaveRun);
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

  function releaseSubjects(subjects: readonly SubjectId[]): void {
    if (ledger.isEmpty()) return;
    for (const subject of subjects) recordChange(ledger.release(subject, getNow()), 'own');
  }

  /** An answer of the call speaks for the parts of its prompt. */
  function recordSoundRun(call: RoutedCall): void {
    const parts = listPartSubjects(call);
    soundParts.record(parts, getNow());
    releaseSubjects(parts);
  }

  function recordCompleted(call: RoutedCall): void {
    recordSoundRun(call);
    if (!ledger.isEmpty()) releaseSubjects([call.contentId]);
  }

  function recordAlive(start: EndpointKey, sentMs: number): void {
    if (ledger.isEmpty()) return;
    for (const change of ledger.releaseStart(start, sentMs, getNow())) recordChange(change, 'own');
  }

  function startWatch(call: RoutedCall, endpoint: RegisteredEndpoint): AttemptWatch {
    const sentMs = getNow();
    const start = hashStartId(endpoint.startId);
    const trialCases = startTrials(call, start);
    let lastEventMs = sentMs;
    let firstEventMs: number | undefined;
    let isSound = false;
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
        firstEventMs ??= lastEventMs;
        if (isSound || lastEventMs - firstEventMs < SOUND_RUN_MS) return;
        isSound = true;
        recordSoundRun(call);
      },
      recordEnd(end) {
        hasEnded = true;
        stopTrials(trialCases, !isNotRun(end));
        switch (end.kind) {
          case 'broken':
            // An answer that this instance broke off says nothing of a crash.
            if (end.isRefused !== true) recordInterrupted();
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
        stopTrials(trialCases, true);
        recordAbandoned();
      },
    };
  }

  /** Clears a part that a peer suspects and that this instance knows as sound. */
  function releaseExcused({ content, crashes }: CaseReport): void {
    if (!isPartSubject(content) || crashes.length === 0) return;
    const nowMs = getNow();
    const isExcused = crashes
      .map(({ start }) => soundParts.takeExcuse(content, start, nowMs))
      .every(Boolean);
    if (isExcused) releaseSubjects([content]);
  }

  return {
    check,
    isCondemned: (call) => listOfStanding(call, STANDING.Condemned).some(isRefusalDue),
    startWatch,
    isInTrial: ({ startId }) => trials.hasAny() && trials.isInTrial(hashStartId(startId)),
    recordEnded: (endpoint) => detector.recordEnded(endpoint),
    takeReports: () => (ledger.isEmpty() ? [] : outbox.take(ledger.list(), getNow())),
    merge(reports, source) {
      for (const report of reports) {
        recordChange(ledger.merge(report, getNow()), source);
        releaseExcused(report);
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
