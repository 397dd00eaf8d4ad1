/**
 * State machine of one routed call, without I/O. Decides when an attempt may be repeated, which parts of
 * a response are delivered and how the call ends. Reports `NotRun` only if no endpoint can have run the
 * call.
 */
import { CALL_KIND } from '../types/traffic.js';
import type { CallKind } from '../types/traffic.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { Failure, RequestFailure } from '../types/outcomes.js';
import { assertNever } from '../utils/assert-never.js';
import { isNotRun } from './attempt-policy.js';
import type {
  ResponseHead,
  AttemptEnd,
  CallCommand,
  CallMessage,
  CancelReason,
  RejectionReason,
} from './call-messages.js';

const OVERLOADED_RETRY_MS = 500;
const SERVER_ERROR_MIN = 500;
/** Interval at which a place is sought for a call whose attempt is silent. */
const SEEK_INTERVAL_MS = 500;
/** Attempts that fail before a byte is sent do not count towards `attemptsMax`, but towards this limit. */
const UNSENT_ATTEMPTS_MAX = 3;

const MESSAGE_OF_REJECTION: Readonly<Record<RejectionReason, string>> = {
  full: 'the endpoints are full; come back after the time given',
  resting: 'the endpoints asked for rest; come back after the time given',
  wrong_endpoint: 'the endpoint is gone; come back after the time given',
};

export interface CallStateMachineOptions {
  readonly kind: CallKind;
  readonly attemptsMax: number;
  readonly deadlineMs: number;
  /** Last event that the caller received, if it resumes an earlier stream. */
  readonly lastEventId: string | undefined;
  /** After this time without a response a call that may be retried moves, if there is a place for it. */
  readonly firstResponseTimeoutMs: number;
  /** The same for a stream without a new event. */
  readonly streamIdleTimeoutMs: number;
  /** Time after which an endpoint of the pool takes requests again; 0 if one does. */
  readonly getReturnMs: () => number;
  /** Whether the shared budget has a retry left. */
  readonly hasRetry: () => boolean;
  /** Takes one retry from the shared budget; false if it is exhausted. */
  readonly takeRetry: () => boolean;
}

/** State machine of one call. */
export interface CallStateMachine {
  handle(message: CallMessage, nowMs: number): CallCommand[];
  isEnded(): boolean;
  /** Number of attempts that were sent. */
  countAttempts(): number;
}

interface EndpointResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

export function createCallStateMachine(options: CallStateMachineOptions): CallStateMachine {
  const { kind, attemptsMax, deadlineMs } = options;
  const isRepeatable = kind === CALL_KIND.Idempotent || kind === CALL_KIND.ResumableStream;
  let attempt = 0;
  let sentAttempts = 0;
  let unsentAttempts = 0;
  /** An attempt was requested and has not ended. */
  let isAttemptPending = false;
  let isDispatched = false;
  /** The response of the current attempt is held back by this instance. */
  let isHeld = false;
  /** The path to the endpoint of the current attempt counts as lost. */
  let isPathLost = false;
  /** When the current attempt was sent or last received data. */
  let lastActivityMs = 0;
  /** When a place was last sought for a silent attempt. */
  let soughtMs = -Infinity;
  let mayHaveRun = false;
  let isHeadDelivered = false;
  /** The endpoint of the current attempt has started to respond, so it may have run the call. */
  let hasResponseStarted = false;
  let isEnded = false;
  let { lastEventId } = options;
  /** A piece without an id was delivered since `lastEventId`: nobody can go on after it. */
  let isPlaceLost = false;
  /** Error response of an endpoint, delivered if the retry fails. */
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

  function recordAttempt(nowMs: number): void {
    attempt += 1;
    sentAttempts += 1;
    isAttemptPending = true;
    isDispatched = false;
    isHeld = false;
    hasResponseStarted = false;
    soughtMs = -Infinity;
    recordActivity(nowMs);
  }

  function startAttempt(nowMs: number): void {
    recordAttempt(nowMs);
    commands.push({ kind: 'attempt', attempt, lastEventId });
  }

  /** Whether another attempt may follow one that may have run. */
  function isRepeatAllowed(): boolean {
    return isRepeatable && !isPlaceLost && sentAttempts < attemptsMax;
  }

  /** Ends a call without a response that may not be retried. */
  function closeUnanswered(message: string): void {
    if (mayHaveRun) closeWithFailure(FAILURE.EndpointFailed, message);
    else {
      const retryAfterMs = Math.max(OVERLOADED_RETRY_MS, options.getReturnMs());
      closeWithFailure(FAILURE.Overloaded, message, retryAfterMs);
    }
  }

  /** Retries the call at another endpoint if that is allowed, else ends it. */
  function handleFailedAttempt(isKnownNotRun: boolean, message: string, nowMs: number): void {
    const isAllowed = isKnownNotRun ? sentAttempts < attemptsMax : isRepeatAllowed();
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
      // The endpoint did not resume the stream, so the response already delivered stays incomplete.
      closeWithFailure(FAILURE.EndpointFailed, 'the endpoint refused to continue the answer');
      return;
    }
    if (isError && isRepeatAllowed() && options.takeRetry()) {
      endpointError = response;
      startAttempt(nowMs);
      return;
    }
    isEnded = true;
    commands.push({ kind: 'deliver_answer', ...response });
  }

  function handleAttemptEnd(reported: AttemptEnd, nowMs: number): void {
    const end: AttemptEnd =
      hasResponseStarted && isNotRun(reported)
        ? { kind: 'broken', reason: `${reported.kind} after the response head` }
        : reported;
    isAttemptPending = false;
    switch (end.kind) {
      case 'unsent':
      case 'withheld':
        handleUnsent(nowMs);
        break;
      case 'rejected':
        handleFailedAttempt(true, MESSAGE_OF_REJECTION[end.reason], nowMs);
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

  function handleStreamStart(head: ResponseHead): void {
    mayHaveRun = true;
    hasResponseStarted = true;
    // A resumed stream continues under the head of the first response.
    if (isHeadDelivered) return;
    isHeadDelivered = true;
    commands.push({ kind: 'deliver_head', head });
  }

  function recordActivity(nowMs: number): void {
    lastActivityMs = nowMs;
    isPathLost = false;
  }

  /** An empty id takes back those before it, as readers of events do. */
  function recordPlace({ id, hasData }: Extract<CallMessage, { kind: 'event' }>): void {
    if (id !== undefined) isPlaceLost = id === '';
    else if (hasData) isPlaceLost = true;
    if (id !== undefined && id !== '') lastEventId = id;
  }

  function cancelAttempt(reason: CancelReason): void {
    if (!isAttemptPending) return;
    isAttemptPending = false;
    commands.push({ kind: 'cancel', attempt, reason });
  }

  function handleDeadline(): void {
    // The endpoint may have run the call, or may still run it until it learns of the cancellation.
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

  function handleInstanceStop({ type, message, retryAfterMs }: RequestFailure): void {
    if (isAttemptPending && isDispatched) mayHaveRun = true;
    cancelAttempt('instance stops');
    if (mayHaveRun) {
      closeWithFailure(
        FAILURE.EndpointFailed,
        'this instance stops before the answer is whole; the endpoint may have run the call',
      );
    } else closeWithFailure(type, message, retryAfterMs);
  }

  function isStalled(nowMs: number): boolean {
    if (!isAttemptPending || !isDispatched || isHeld) return false;
    const timeoutMs = hasResponseStarted
      ? options.streamIdleTimeoutMs
      : options.firstResponseTimeoutMs;
    return isPathLost || nowMs - lastActivityMs >= timeoutMs;
  }

  /**
   * Guards against lost responses and connections that fail without being closed. The silent attempt goes on
   * until another place takes the call: its endpoint may be sound, and there may be no other place.
   */
  function checkStall(nowMs: number): void {
    if (nowMs - soughtMs < SEEK_INTERVAL_MS || !isStalled(nowMs)) return;
    if (!isRepeatAllowed() || !options.hasRetry()) return;
    soughtMs = nowMs;
    commands.push({ kind: 'seek', attempt: attempt + 1, lastEventId });
  }

  /** The silent attempt may have gone on while the place was sought. */
  function handlePlaceFound(
    found: Extract<CallMessage, { kind: 'place_found' }>,
    nowMs: number,
  ): void {
    const isWanted = found.next === attempt + 1 && found.lastEventId === lastEventId;
    if (!isWanted || !isStalled(nowMs) || !isRepeatAllowed() || !options.takeRetry()) return;
    mayHaveRun = true;
    cancelAttempt('stalled');
    recordAttempt(nowMs);
    isDispatched = true;
    commands.push({ kind: 'move', attempt });
  }

  function handleCallerDisconnect(): void {
    isEnded = true;
    // A call that may not be repeated runs to its end, since cancelling it could leave it half done.
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
      case 'place_found':
        handlePlaceFound(message, nowMs);
        break;
      case 'dispatched':
        isDispatched = true;
        lastActivityMs = nowMs;
        break;
      case 'stream_started':
        recordActivity(nowMs);
        handleStreamStart(message.head);
        break;
      case 'event':
        recordActivity(nowMs);
        recordPlace(message);
        commands.push({ kind: 'deliver_event', bytes: message.bytes });
        break;
      case 'held':
        isHeld = true;
        break;
      case 'resumed':
        isHeld = false;
        recordActivity(nowMs);
        break;
      case 'path_lost':
        isPathLost = true;
        checkStall(nowMs);
        break;
      case 'ended':
        handleAttemptEnd(message.end, nowMs);
        break;
      case 'caller_left':
        handleCallerDisconnect();
        break;
      case 'instance_stops':
        handleInstanceStop(message.failure);
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
