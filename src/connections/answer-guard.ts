/**
 * Limits what a server may send over a connection without an answer that goes on: heads before the
 * answer, a status line, chunk extensions, bytes that nobody asked for. Does no I/O.
 */
import { assertNever } from '../utils/assert-never.js';

/** Answers with early hints or notes of progress have a handful. */
const INFORMATIONAL_HEADS_MAX = 16;
/** Bytes of an answer that are not its body: heads and framing. */
const OVERHEAD_BYTES_MAX = 256 * 1024;
/** Further bytes of framing for each byte of the body; chunks of one byte have five. */
const OVERHEAD_PER_BODY_BYTE = 16;
const FINAL_STATUS_MIN = 200;
/** A status above it is none of the protocol (RFC 9110, section 15). */
export const FINAL_STATUS_MAX = 599;

/** Why a connection was closed, as label values of the metrics. */
export const ANSWER_FAULT = {
  InformationalHeads: 'informational_heads',
  Overhead: 'overhead',
  Unasked: 'unasked',
  HeadTooLarge: 'head_too_large',
  Malformed: 'malformed',
  Status: 'status',
} as const;
export type AnswerFault = (typeof ANSWER_FAULT)[keyof typeof ANSWER_FAULT];

export function describeAnswerFault(fault: AnswerFault): string {
  switch (fault) {
    case ANSWER_FAULT.InformationalHeads:
      return `closed: more than ${INFORMATIONAL_HEADS_MAX} informational heads before the answer`;
    case ANSWER_FAULT.Overhead:
      return `closed: more than ${OVERHEAD_BYTES_MAX} bytes that are no body of the answer`;
    case ANSWER_FAULT.Unasked:
      return 'closed: bytes without a request';
    case ANSWER_FAULT.HeadTooLarge:
      return 'closed: the head of the answer is too large';
    case ANSWER_FAULT.Malformed:
      return 'closed: the answer is not HTTP';
    case ANSWER_FAULT.Status:
      return `closed: the status of the answer is above ${FINAL_STATUS_MAX}`;
    default:
      return assertNever(fault);
  }
}

/** `handledBytes`: bytes of the connection that its parser has handled. */
export interface AnswerGuard {
  /** A request is written, and its answer is awaited. */
  startAnswer(handledBytes: number): void;
  recordHead(status: number): AnswerFault | undefined;
  recordBody(bytes: number): void;
  endAnswer(): void;
  /** Checks the bytes handled so far, before the next ones are. */
  checkBytes(handledBytes: number): AnswerFault | undefined;
}

/** Creates the guard of one connection, which carries one answer at a time. */
export function createAnswerGuard(): AnswerGuard {
  let isAwaiting = false;
  let startBytes = 0;
  let bodyBytes = 0;
  let informationalHeads = 0;
  return {
    startAnswer(handledBytes) {
      isAwaiting = true;
      startBytes = handledBytes;
      bodyBytes = 0;
      informationalHeads = 0;
    },
    recordHead(status) {
      if (status > FINAL_STATUS_MAX) return ANSWER_FAULT.Status;
      if (status >= FINAL_STATUS_MIN) return undefined;
      informationalHeads += 1;
      return informationalHeads > INFORMATIONAL_HEADS_MAX
        ? ANSWER_FAULT.InformationalHeads
        : undefined;
    },
    recordBody(bytes) {
      bodyBytes += bytes;
    },
    endAnswer() {
      isAwaiting = false;
    },
    checkBytes(handledBytes) {
      if (!isAwaiting) return ANSWER_FAULT.Unasked;
      const overheadBytes = handledBytes - startBytes - bodyBytes;
      return overheadBytes > OVERHEAD_BYTES_MAX + bodyBytes * OVERHEAD_PER_BODY_BYTE
        ? ANSWER_FAULT.Overhead
        : undefined;
    },
  };
}
