/**
 * Reads the response of one attempt and reports its events and result. Checks that the response belongs
 * to the call, that it is complete, and whether the endpoint ran the call.
 */
import type { AvailabilityNotice } from '../endpoint-availability/availability-notice.js';
import type { RateLimitReading } from '../endpoint-limits/rate-limit.js';
import type { HeldAnswer } from '../memory/answer-memory.js';
import type { BrittleReading } from '../slot-shares/brittle-reading.js';
import { FINAL_STATUS_MAX } from '../connections/answer-guard.js';
import { REJECTION } from './call-messages.js';
import type { AttemptEnd, HeaderField, RejectionReason, ResponseHead } from './call-messages.js';
import { REJECTION_BYTES_MAX, RESPONSE_BYTES_MAX } from './response-limits.js';
import { createStreamReader } from './stream-reader.js';
import type { JoinedEvents } from './stream-reader.js';

/** Status and headers of a response, decoded by the endpoint protocol. */
export interface DecodedHead {
  /** Call id in the response; undefined if it has none. */
  readonly callId: string | undefined;
  /** The endpoint reports that it did not run the call. */
  readonly isNotRun: boolean;
  /** The address now belongs to another endpoint. */
  readonly isWrongEndpoint: boolean;
  /** The response has the signature header that every endpoint adds. */
  readonly isSigned: boolean;
  readonly isEventStream: boolean;
  /** What the response says about the endpoint's rate limit. */
  readonly rateLimit: RateLimitReading;
  readonly notice: AvailabilityNotice;
  /** What the response says about the rejections that the endpoint bears. */
  readonly brittle: BrittleReading;
  readonly headers: readonly HeaderField[];
}

export interface AttemptListener {
  /** Called for each response of the endpoint, whether it ran the call or not. */
  onRateLimit(reading: RateLimitReading): void;
  /** Called for each response of the endpoint, before `onNotice`. */
  onBrittle(reading: BrittleReading): void;
  /** Called for each response of the endpoint with what it says of its availability. */
  onNotice(notice: AvailabilityNotice): void;
  onStreamStarted(head: ResponseHead): void;
  /** Called with complete events, those of one piece of the response at once. */
  onEvent(events: JoinedEvents): void;
  /** Called once, last. */
  onEnded(end: AttemptEnd): void;
}

/** The response that the attempt waits for. */
export interface ExpectedResponse {
  readonly callId: string;
  readonly isStream: boolean;
  /** Event after which the stream goes on; undefined if it begins. */
  readonly lastEventId: string | undefined;
}

export interface AttemptReader {
  /** False if the rest of the response is not needed and the connection must be closed. */
  readHead(status: number, head: DecodedHead): boolean;
  readData(bytes: Buffer): boolean;
  /** The response ended. */
  readEnd(): void;
  /**
   * The exchange failed; `isSent`: bytes of the request may have reached the endpoint. `isRefused`: this
   * instance broke it off, while the endpoint went on.
   */
  readError(isSent: boolean, reason: string, isRefused?: boolean): void;
  /** The request was not sent, since the endpoint takes none any more. */
  readWithheld(): void;
}

const SUCCESS_STATUS_MIN = 200;
const SUCCESS_STATUS_MAX = 299;

function computeRejection({ isWrongEndpoint, notice }: DecodedHead): RejectionReason {
  if (isWrongEndpoint) return REJECTION.WrongEndpoint;
  return notice.rest.kind === 'rest' ? REJECTION.Resting : REJECTION.Full;
}

/** `answer`: memory for a response that is no stream. */
export function createAttemptReader(
  { callId, isStream, lastEventId }: ExpectedResponse,
  listener: AttemptListener,
  answer: Pick<HeldAnswer, 'add' | 'build'>,
): AttemptReader {
  const stream = createStreamReader(lastEventId);
  let bytesRead = 0;
  let head: ResponseHead | undefined;
  let mode: 'none' | 'stream' | 'whole' | 'rejected' | 'ended' = 'none';
  let rejection: RejectionReason = REJECTION.Full;

  function close(end: AttemptEnd): void {
    mode = 'ended';
    listener.onEnded(end);
  }

  function readStream(bytes: Buffer): boolean {
    const { joined, fault } = stream.add(bytes);
    for (const events of joined) listener.onEvent(events);
    if (fault === undefined) return true;
    close({ kind: 'broken', reason: fault });
    return false;
  }

  function readStreamEnd(): void {
    const { joined, fault } = stream.takeEnd();
    for (const events of joined) listener.onEvent(events);
    close(fault === undefined ? { kind: 'stream_ended' } : { kind: 'broken', reason: fault });
  }

  function readBody(bytes: Buffer): boolean {
    bytesRead += bytes.length;
    const isTooLarge = bytesRead > RESPONSE_BYTES_MAX;
    if (!isTooLarge && answer.add(bytes)) return true;
    const reason = isTooLarge
      ? 'response body exceeds the size limit'
      : 'no memory is left for the response';
    close({ kind: 'broken', reason, isRefused: true });
    return false;
  }

  /** Its head has said that the call did not run, however much follows. */
  function readRejection(bytes: Buffer): boolean {
    bytesRead += bytes.length;
    if (bytesRead <= REJECTION_BYTES_MAX) return true;
    close({ kind: 'rejected', reason: rejection });
    return false;
  }

  return {
    readHead(status, decoded) {
      // Guards against a status that is none and comes through a peer of an older release.
      if (status > FINAL_STATUS_MAX) {
        close({ kind: 'broken', reason: `response with the status ${status}`, isRefused: true });
        return false;
      }
      const isSuccess = status >= SUCCESS_STATUS_MIN && status <= SUCCESS_STATUS_MAX;
      // Guards against delivering a late response to an earlier call of the connection.
      const isOtherCall = decoded.callId !== undefined && decoded.callId !== callId;
      if (isOtherCall || (isSuccess && decoded.callId === undefined)) {
        close({ kind: 'broken', reason: 'response has no call id or that of another call' });
        return false;
      }
      // What another endpoint at this address says of itself does not concern this endpoint.
      if (!decoded.isWrongEndpoint) {
        listener.onRateLimit(decoded.rateLimit);
        listener.onBrittle(decoded.brittle);
        listener.onNotice(decoded.notice);
      }
      if (decoded.isNotRun || decoded.isWrongEndpoint) {
        mode = 'rejected';
        rejection = computeRejection(decoded);
        return true;
      }
      if (!decoded.isSigned) {
        close({ kind: 'broken', reason: `response ${status} without the signature header` });
        return false;
      }
      head = { status, headers: decoded.headers };
      mode = isSuccess && isStream && decoded.isEventStream ? 'stream' : 'whole';
      if (mode === 'stream') listener.onStreamStarted(head);
      return true;
    },
    readData(bytes) {
      switch (mode) {
        case 'stream':
          return readStream(bytes);
        case 'whole':
          return readBody(bytes);
        case 'rejected':
          return readRejection(bytes);
        default:
          return false;
      }
    },
    readEnd() {
      if (mode === 'stream') readStreamEnd();
      else if (mode === 'rejected') close({ kind: 'rejected', reason: rejection });
      else if (mode === 'whole' && head !== undefined) {
        close({ kind: 'answered', head, body: answer.build() });
      }
    },
    readError(isSent, reason, isRefused = false) {
      if (mode === 'ended') return;
      // The head of a rejection proves that the call did not run, even if the body is incomplete.
      if (mode === 'rejected') close({ kind: 'rejected', reason: rejection });
      else if (!isSent) close({ kind: 'unsent' });
      else close({ kind: 'broken', reason, isRefused });
    },
    readWithheld: () => close({ kind: 'withheld' }),
  };
}
