/** Logs events of calls and records their metrics. */
import type { AttemptEnd, CallCommand, RejectionReason } from '../calls/call-messages.js';
import type { AttemptRecord, CallEnd, CallObserver } from '../calls/call-records.js';
import { OUTCOME } from '../types/outcomes.js';
import { CALL_RESULT } from './call-metrics.js';
import type { CallMetrics, CallResult } from './call-metrics.js';
import type { DecisionLog } from './decision-log.js';

const SERVER_ERROR_MIN = 500;
/** Characters of an id that a caller names. */
const LOGGED_ID_MAX = 64;

export interface CallObserverOptions {
  readonly log: DecisionLog;
  readonly metrics: CallMetrics;
  readonly getKnowledge: () => { readonly configurationVersion: number; readonly ageMs: number };
}

const DESCRIPTION_OF_REJECTION: Readonly<Record<RejectionReason, string>> = {
  full: 'full',
  resting: 'asked for rest',
  wrong_endpoint: 'another endpoint has the address',
};

function describeAttemptEnd(end: AttemptEnd): string {
  switch (end.kind) {
    case 'broken':
      return `broken: ${end.reason}`;
    case 'answered':
      return `answered ${end.head.status}`;
    case 'rejected':
      return `rejected: ${DESCRIPTION_OF_REJECTION[end.reason]}`;
    default:
      return end.kind;
  }
}

function isSuccessfulAttempt(end: AttemptEnd): boolean {
  if (end.kind === 'answered') return end.head.status < SERVER_ERROR_MIN;
  return end.kind === 'stream_ended';
}

function describeFinal(final: CallCommand | undefined): string {
  switch (final?.kind) {
    case undefined:
      return 'caller left';
    case 'cancel':
      return 'caller left';
    case 'fail':
      return `${final.failure.type} (${final.failure.outcome}): ${final.failure.message}`;
    case 'break_answer':
      return `broken off: ${final.reason}`;
    case 'deliver_answer':
      return `answered ${final.head.status}`;
    default:
      return 'answered whole';
  }
}

function computeResult(final: CallCommand | undefined): CallResult {
  switch (final?.kind) {
    case 'fail':
      return final.failure.outcome === OUTCOME.NotRun ? CALL_RESULT.Refused : CALL_RESULT.Failed;
    case 'break_answer':
      return CALL_RESULT.Broken;
    case 'deliver_answer':
      return final.head.status < SERVER_ERROR_MIN ? CALL_RESULT.Served : CALL_RESULT.Failed;
    case 'deliver_end':
      return CALL_RESULT.Served;
    default:
      return CALL_RESULT.CallerLeft;
  }
}

export function createCallObserver(options: CallObserverOptions): CallObserver {
  const { log, metrics } = options;
  return {
    onAttempt(record: AttemptRecord) {
      const { call, attempt, endpoint, lastEventId, load, waitedMs } = record;
      const knowledge = options.getKnowledge();
      metrics.recordWait(call.urgency, waitedMs);
      if (record.wait !== undefined) metrics.recordHeld(call.urgency, record.wait.reason);
      log.write({
        event: 'attempt_started',
        request: call.callId,
        urgency: call.urgency,
        attempt,
        endpoint: endpoint.id,
        endpointVersion: endpoint.softwareVersion,
        ...(lastEventId === undefined ? {} : { lastEventId }),
        ...(call.resumedCallId === undefined
          ? {}
          : { resumes: call.resumedCallId.slice(0, LOGGED_ID_MAX) }),
        endpointRunning: load.running,
        endpointUrgent: load.urgent,
        endpointPreemptible: load.preemptible,
        endpointUnreadTokens: load.unreadTokens,
        ...(record.room === undefined
          ? {}
          : {
              poolRoom: record.room.room,
              poolMoreUrgent: Math.round(record.room.peak),
              poolSlots: record.room.slots,
            }),
        ...(record.wait === undefined
          ? {}
          : { waitedFor: record.wait.reason, heldMs: Math.round(record.heldMs) }),
        ...(record.pauseMs === undefined ? {} : { enginePauseMs: Math.round(record.pauseMs) }),
        candidates: record.candidates,
        waitedMs: Math.round(waitedMs),
        remainingMs: Math.round(record.remainingMs),
        configurationVersion: knowledge.configurationVersion,
        knowledgeAgeMs: Math.round(knowledge.ageMs),
      });
    },
    onAttemptEnded({ call, attempt, endpoint }, end, tookMs) {
      metrics.recordAttempt(end.kind);
      if (isSuccessfulAttempt(end)) return;
      log.write({
        event: 'attempt_failed',
        request: call.callId,
        content: call.contentId,
        attempt,
        endpoint: endpoint.id,
        end: describeAttemptEnd(end),
        tookMs: Math.round(tookMs),
      });
    },
    onEnded({ call, final, attempts, wait, firstMs, stream, tookMs }: CallEnd) {
      const result = computeResult(final);
      const { longestPause } = stream ?? {};
      const pauseMs = longestPause?.pauseMs ?? 0;
      const { targetMs, gapTargetMs } = call.route;
      metrics.recordCall(call, result, firstMs, tookMs);
      if (longestPause !== undefined) metrics.recordPause(call.route.name, pauseMs);
      const isInTime = firstMs <= targetMs && pauseMs <= (gapTargetMs ?? Infinity);
      log.write(
        {
          event: 'call_ended',
          request: call.callId,
          // The content hash is computed on access, and served calls do not need it.
          content: result === CALL_RESULT.Served ? undefined : call.contentId,
          route: call.route.name,
          urgency: call.urgency,
          organisation: call.organisation ?? '',
          end: describeFinal(final),
          attempts,
          ...(attempts === 0 && wait !== undefined ? { waitedFor: wait.reason } : {}),
          firstMs: Math.round(firstMs),
          events: stream?.events ?? 0,
          meanPauseMs: Math.round(stream?.meanPauseMs ?? 0),
          pauseMs: Math.round(pauseMs),
          pauseTargetMs: gapTargetMs,
          pauseAfterEvents: longestPause?.afterEvents ?? 0,
          pauseUnreadTokens: longestPause?.unreadTokens ?? 0,
          pauseRunning: longestPause?.running ?? 0,
          tookMs: Math.round(tookMs),
          targetMs,
        },
        result === CALL_RESULT.Served && isInTime && attempts === 1,
      );
    },
  };
}
