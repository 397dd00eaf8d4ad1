/**
 * Turns what one exchange with an endpoint brings into typed messages: whose answer it is, whether
 * it is whole, whether the endpoint ran anything.
 */
import type { AnswerHead, AttemptEnd, HeaderField } from './call-messages.js';
import { RESPONSE_BYTES_MAX } from './response-limits.js';
import { createEventSplitter } from './event-splitter.js';
import type { StreamEvent } from './event-splitter.js';

/** What an endpoint's status and headers say. */
export interface DecodedHead {
  /** The call the endpoint says it answers; undefined where it says nothing. */
  readonly callId: string | undefined;
  /** The endpoint says that it did not run the call. */
  readonly isUnrun: boolean;
  /** Another endpoint has the address now. */
  readonly isWrongEndpoint: boolean;
  /** The answer bears the mark that every endpoint puts on its own. */
  readonly isSigned: boolean;
  readonly isEventStream: boolean;
  readonly headers: readonly HeaderField[];
}

/** What the reader reports. */
export interface AttemptListener {
  onStreamStarted(head: AnswerHead): void;
  onEvent(event: StreamEvent): void;
  /** Called once, last. */
  onEnded(end: AttemptEnd): void;
}

/** Reads one exchange. */
export interface AttemptReader {
  /** False where the rest of the exchange is of no use: its connection is to be closed. */
  readHead(status: number, head: DecodedHead): boolean;
  readData(bytes: Buffer): boolean;
  /** The exchange is whole. */
  readEnd(): void;
  /** The exchange broke off; `isSent`: bytes of the call may have reached the endpoint. */
  readError(isSent: boolean, reason: string): void;
}

const SUCCESS_STATUS_MIN = 200;
const SUCCESS_STATUS_MAX = 299;

/** Builds a reader for the call with this id. */
export function createAttemptReader(
  callId: string,
  isStreamExpected: boolean,
  listener: AttemptListener,
): AttemptReader {
  const splitter = createEventSplitter();
  const chunks: Buffer[] = [];
  let bytesRead = 0;
  let head: AnswerHead | undefined;
  let mode: 'none' | 'stream' | 'whole' | 'rejected' | 'ended' = 'none';
  let isWrongEndpoint = false;

  function close(end: AttemptEnd): void {
    mode = 'ended';
    listener.onEnded(end);
  }

  function readStream(bytes: Buffer): boolean {
    const events = splitter.add(bytes);
    if (events === undefined) {
      close({ kind: 'broken', reason: 'an event without an end' });
      return false;
    }
    for (const event of events) listener.onEvent(event);
    return true;
  }

  function readBody(bytes: Buffer): boolean {
    chunks.push(bytes);
    bytesRead += bytes.length;
    if (bytesRead <= RESPONSE_BYTES_MAX) return true;
    close({ kind: 'broken', reason: 'an answer beyond the largest size' });
    return false;
  }

  return {
    readHead(status, decoded) {
      const isSuccess = status >= SUCCESS_STATUS_MIN && status <= SUCCESS_STATUS_MAX;
      // Guards against late answers to earlier calls of the connection: delivering one would hand a
      // caller somebody else's answer.
      const isOtherCall = decoded.callId !== undefined && decoded.callId !== callId;
      if (isOtherCall || (isSuccess && decoded.callId === undefined)) {
        close({ kind: 'broken', reason: 'an answer to another call' });
        return false;
      }
      if (decoded.isUnrun || decoded.isWrongEndpoint) {
        mode = 'rejected';
        isWrongEndpoint = decoded.isWrongEndpoint;
        return true;
      }
      if (!decoded.isSigned) {
        close({ kind: 'broken', reason: `an answer ${status} without the endpoint's mark` });
        return false;
      }
      head = { status, headers: decoded.headers };
      mode = isSuccess && isStreamExpected && decoded.isEventStream ? 'stream' : 'whole';
      if (mode === 'stream') listener.onStreamStarted(head);
      return true;
    },
    readData(bytes) {
      switch (mode) {
        case 'stream':
          return readStream(bytes);
        case 'whole':
          return readBody(bytes);
        default:
          return mode === 'rejected';
      }
    },
    readEnd() {
      if (mode === 'stream') {
        if (splitter.hasPartialEvent())
          close({ kind: 'broken', reason: 'half an event at the end' });
        else close({ kind: 'stream_ended' });
      } else if (mode === 'rejected') close({ kind: 'rejected', isWrongEndpoint });
      else if (mode === 'whole' && head !== undefined) {
        close({ kind: 'answered', head, body: Buffer.concat(chunks) });
      }
    },
    readError(isSent, reason) {
      if (mode === 'ended') return;
      // A refusal is proof by its head alone, whatever became of its body.
      if (mode === 'rejected') close({ kind: 'rejected', isWrongEndpoint });
      else if (!isSent) close({ kind: 'unsent' });
      else close({ kind: 'broken', reason });
    },
  };
}
