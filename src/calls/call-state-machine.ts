/**
 * The life of one routed call, free of I/O: which attempt may follow which, what of an answer may be
 * delivered, and what a caller is told at the end. "Not run" is only said where no endpoint can have
 * run the call.
 */
import { CALL_KIND } from '../types/traffic.js';
import type { CallKind } from '../types/traffic.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { Failure, RequestFailure } from '../types/outcomes.js';
import { assertNever } from '../utils/assert-never.js';
import type {
  AnswerHead,
  AttemptEnd,
  CallCommand,
  CallMessage,
  CancelReason,
} from './call-messages.js';

/** A caller turned away because the endpoints are full comes back after this long, in milliseconds. */
const OVERLOADED_RETRY_MS = 500;
const SERVER_ERROR_MIN = 500;
/** Connections that fail before a byte is sent are tried anew at other endpoints this often. */
const UNSENT_ATTEMPTS_MAX = 3;

/** What a call's life depends on. */
export interface CallStateMachineOptions {
  readonly kind: CallKind;
  readonly attemptsMax: number;
  readonly deadlineMs: number;
  /** Last event of an earlier answer, where the caller itself resumes. */
  readonly lastEventId: string | undefined;
  /** An attempt without its first answer is given up after this long, in milliseconds, if another may follow. */
  readonly firstResponseTimeoutMs: number;
  /** The same for a stream that began and then fell silent. */
  readonly streamIdleTimeoutMs: number;
  /** Spends one second try of the shared budget. */
  readonly takeRetry: () => boolean;
}

/** The life of one call. */
export interface CallStateMachine {
  handle(message: CallMessage, nowMs: number): CallCommand[];
  isEnded(): boolean;
  /** Attempts that were sent. */
  countAttempts(): number;
}

interface EndpointResponse {
  readonly head: AnswerHead;
  readonly body: Buffer;
}

/** Builds the life of a call that has not started. */
export function createCallStateMachine(options: CallStateMachineOptions): CallStateMachine {
  const { kind, attemptsMax, deadlineMs } = options;
  const isRepeatable = kind === CALL_KIND.Idempotent || kind === CALL_KIND.ResumableStream;
  let attempt = 0;
  let sentAttempts = 0;
  let unsentAttempts = 0;
  /** An attempt was asked for and has not ended. */
  let isAttemptPending = false;
  let isDispatched = false;
  /** When the attempt under way began, or was last heard of. */
  let lastActivityMs = 0;
  let mayHaveRun = false;
  let isHeadDelivered = false;
  /** The attempt under way has begun to answer: nothing proves any more that it ran nothing. */
  let hasResponseStarted = false;
  let isEnded = false;
  let { lastEventId } = options;
  /** An endpoint's own error, kept while a second endpoint is tried. */
  let endpointError: EndpointResponse | undefined;
  let commands: CallCommand[] = [];

  function closeWithFailure(type: Failure, message: string, retryAfterMs?: number): void {
    isEnded = true;
    if (isHeadDelivered) {
      commands.push({ kind: 'break_answer', reason: message });
      return;
    }
    if (endpointError !== undefined) {
      commands.push({ kind: 'deliver_answer', ...endpointError });
      return;
    }
    const failure: RequestFailure = {
      type,
      message,
      outcome: mayHaveRun ? OUTCOME.MayHaveRun : OUTCOME.NotRun,
      ...(retryAfterMs === undefined || mayHaveRun ? {} : { retryAfterMs }),
    };
    commands.push({ kind: 'fail', failure });
  }

  function startAttempt(nowMs: number): void {
    attempt += 1;
    sentAttempts += 1;
    isAttemptPending = true;
    isDispatched = false;
    hasResponseStarted = false;
    lastActivityMs = nowMs;
    commands.push({ kind: 'attempt', attempt, lastEventId });
  }

  /** Ends a call that no endpoint answered and that may not be sent again. */
  function closeUnanswered(message: string): void {
    if (mayHaveRun) closeWithFailure(FAILURE.EndpointFailed, message);
    else closeWithFailure(FAILURE.Overloaded, message, OVERLOADED_RETRY_MS);
  }

  /** Sends the call to another endpoint if that is allowed, else ends it. */
  function handleFailedAttempt(isKnownNotRun: boolean, message: string, nowMs: number): void {
    const isAllowed = (isKnownNotRun || isRepeatable) && sentAttempts < attemptsMax;
    if (isAllowed && options.takeRetry()) startAttempt(nowMs);
    else closeUnanswered(message);
  }

  function handleUnsent(nowMs: number): void {
    sentAttempts -= 1;
    unsentAttempts += 1;
    if (unsentAttempts > UNSENT_ATTEMPTS_MAX)
      closeUnanswered('no endpoint could be reached; come back later');
    else startAttempt(nowMs);
  }

  function handleResponse(response: EndpointResponse, nowMs: number): void {
    mayHaveRun = true;
    const isError = response.head.status >= SERVER_ERROR_MIN;
    if (isHeadDelivered) {
      // A continuation was refused; the first answer stays without its end.
      closeWithFailure(FAILURE.EndpointFailed, 'the endpoint refused to continue the answer');
      return;
    }
    if (isError && isRepeatable && sentAttempts < attemptsMax && options.takeRetry()) {
      endpointError = response;
      startAttempt(nowMs);
      return;
    }
    isEnded = true;
    commands.push({ kind: 'deliver_answer', ...response });
  }

  function handleAttemptEnd(reported: AttemptEnd, nowMs: number): void {
    const isReportedNotRun = reported.kind === 'unsent' || reported.kind === 'rejected';
    const end: AttemptEnd =
      hasResponseStarted && isReportedNotRun
        ? { kind: 'broken', reason: `${reported.kind} after a head` }
        : reported;
    isAttemptPending = false;
    switch (end.kind) {
      case 'unsent':
        handleUnsent(nowMs);
        break;
      case 'rejected':
        handleFailedAttempt(
          true,
          end.isWrongEndpoint
            ? 'the endpoint is gone; come back after the time given'
            : 'the endpoints are full; come back after the time given',
          nowMs,
        );
        break;
      case 'broken':
        mayHaveRun = true;
        handleFailedAttempt(false, 'the endpoint failed before its answer was whole', nowMs);
        break;
      case 'answered':
        handleResponse({ head: end.head, body: end.body }, nowMs);
        break;
      case 'stream_ended':
        isEnded = true;
        commands.push({ kind: 'deliver_end' });
        break;
      default:
        assertNever(end);
    }
  }

  function handleStreamStart(head: AnswerHead): void {
    mayHaveRun = true;
    hasResponseStarted = true;
    // Later endpoints continue the answer under the head of the first.
    if (isHeadDelivered) return;
    isHeadDelivered = true;
    commands.push({ kind: 'deliver_head', head });
  }

  function cancelAttempt(reason: CancelReason): void {
    if (!isAttemptPending) return;
    isAttemptPending = false;
    commands.push({ kind: 'cancel', attempt, reason });
  }

  function handleDeadline(): void {
    // What is under way may have run, or may yet run until its endpoint hears of the end.
    if (isAttemptPending && isDispatched) mayHaveRun = true;
    cancelAttempt('deadline');
    if (mayHaveRun) {
      closeWithFailure(
        FAILURE.DeadlinePassed,
        'the time allowed passed before the answer was whole',
      );
    } else {
      closeWithFailure(FAILURE.Overloaded, 'no endpoint was free in time', OVERLOADED_RETRY_MS);
    }
  }

  /**
   * Guards against answers that were lost on the way and connections gone silent: both show as
   * silence after the call was sent, or in the middle of a stream.
   */
  function checkStall(nowMs: number): void {
    const timeoutMs = hasResponseStarted
      ? options.streamIdleTimeoutMs
      : options.firstResponseTimeoutMs;
    const isStalled = isAttemptPending && isDispatched && nowMs - lastActivityMs >= timeoutMs;
    if (!isStalled || !isRepeatable || sentAttempts >= attemptsMax) return;
    if (!options.takeRetry()) return;
    mayHaveRun = true;
    cancelAttempt('stalled');
    startAttempt(nowMs);
  }

  function handleCallerDisconnect(): void {
    isEnded = true;
    // What may not be repeated is seen through: stopping it halfway helps nobody.
    if (kind === CALL_KIND.NonIdempotent) return;
    cancelAttempt('caller left');
  }

  function isCurrent(message: CallMessage): boolean {
    return !('attempt' in message) || (isAttemptPending && message.attempt === attempt);
  }

  function applyMessage(message: CallMessage, nowMs: number): void {
    switch (message.kind) {
      case 'start':
        startAttempt(nowMs);
        break;
      case 'unplaced':
        isAttemptPending = false;
        sentAttempts -= 1;
        closeWithFailure(
          mayHaveRun ? FAILURE.EndpointFailed : message.failure.type,
          message.failure.message,
          message.failure.retryAfterMs,
        );
        break;
      case 'dispatched':
        isDispatched = true;
        lastActivityMs = nowMs;
        break;
      case 'stream_started':
        lastActivityMs = nowMs;
        handleStreamStart(message.head);
        break;
      case 'event':
        lastActivityMs = nowMs;
        if (message.id !== undefined) lastEventId = message.id;
        commands.push({ kind: 'deliver_event', bytes: message.bytes });
        break;
      case 'ended':
        handleAttemptEnd(message.end, nowMs);
        break;
      case 'caller_left':
        handleCallerDisconnect();
        break;
      case 'tick':
        if (nowMs >= deadlineMs) handleDeadline();
        else checkStall(nowMs);
        break;
      default:
        assertNever(message);
    }
  }

  return {
    handle(message, nowMs) {
      commands = [];
      if (!isEnded && isCurrent(message)) applyMessage(message, nowMs);
      return commands;
    },
    isEnded: () => isEnded,
    countAttempts: () => sentAttempts,
  };
}
