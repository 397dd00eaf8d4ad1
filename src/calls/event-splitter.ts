/**
 * Splits a stream of server-sent events at event boundaries without changing any byte. Returns only
 * complete events, so that a resumed stream is never joined to a partial event. Each byte is looked at
 * a fixed number of times, however small the pieces are.
 */
import { createJoinedBytes } from '../memory/joined-bytes.js';
import { EVENT_BYTES_MAX } from './response-limits.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const COLON = 0x3a;
/** May precede the first line of an event. */
const BYTE_ORDER_MARK = Buffer.from('\ufeff');
const ID = Buffer.from('id');
const DATA = Buffer.from('data');

/** How much of the blank line that closes an event has come. */
const CLOSING = { None: 0, LineFeed: 1, CarriageReturn: 2 } as const;
type Closing = (typeof CLOSING)[keyof typeof CLOSING];

/** One complete event, including its closing blank line. */
export interface StreamEvent {
  /** The last id that it names, as readers of events take it; undefined if it names none. */
  readonly id: string | undefined;
  /** Whether a reader of events gets it; comments and the like are no pieces of the stream. */
  readonly hasData: boolean;
  /** Where its bytes are; a buffer for each would cost more than a small event. */
  readonly source: Buffer;
  readonly start: number;
  readonly end: number;
}

export function getBytes({ source, start, end }: StreamEvent): Buffer {
  return source.subarray(start, end);
}

/** Splitter of one stream. */
export interface EventSplitter {
  /** Returns the events completed by these bytes; undefined if an event exceeds `EVENT_BYTES_MAX`. */
  add(bytes: Buffer): StreamEvent[] | undefined;
  /** Whether an event has begun; blank lines begin none. */
  hasPartialEvent(): boolean;
  /** Returns the blank lines after the last event; only if no event has begun. */
  takeBlankLines(): Buffer;
}

function isLineEnd(byte: number | undefined): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

function hasBytes(source: Buffer, at: number, expected: Buffer): boolean {
  for (let index = 0; index < expected.length; index += 1) {
    if (source[at + index] !== expected[index]) return false;
  }
  return true;
}

/** Whether the line that starts there has the field; its name ends with the line or at a colon. */
function hasField(source: Buffer, lineStart: number, name: Buffer): boolean {
  if (!hasBytes(source, lineStart, name)) return false;
  const after = source[lineStart + name.length];
  return after === COLON || isLineEnd(after);
}

/** Value of a field whose name ends at the offset. */
function readValue(source: Buffer, nameEnd: number, lineEnd: number): string {
  const isSpaced = source[nameEnd + 1] === SPACE;
  return source.toString('latin1', Math.min(lineEnd, nameEnd + (isSpaced ? 2 : 1)), lineEnd);
}

function readEvent(source: Buffer, start: number, end: number): StreamEvent {
  let id: string | undefined;
  let hasData = false;
  let lineStart = hasBytes(source, start, BYTE_ORDER_MARK) ? start + BYTE_ORDER_MARK.length : start;
  for (let at = lineStart; at < end; at += 1) {
    if (isLineEnd(source[at])) {
      if (hasField(source, lineStart, ID)) id = readValue(source, lineStart + ID.length, at);
      else hasData ||= hasField(source, lineStart, DATA);
      lineStart = at + 1;
    }
  }
  return { id, hasData, source, start, end };
}

export function createEventSplitter(): EventSplitter {
  /** The event that has begun, copied, so that the buffers that it came in are not kept. */
  const partial = createJoinedBytes();
  let closing: Closing = CLOSING.None;
  let hasBegun = false;

  function takeEvent(source: Buffer, start: number, end: number): StreamEvent {
    if (partial.getLength() === 0) return readEvent(source, start, end);
    partial.add(source.subarray(start, end));
    const whole = partial.build();
    return readEvent(whole, 0, whole.length);
  }

  /** Local variables, since this runs for each byte. */
  function listEvents(bytes: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    let state = closing;
    let isBegun = hasBegun;
    for (let at = 0; at < bytes.length; at += 1) {
      const byte = bytes[at];
      if (byte === LINE_FEED && state !== CLOSING.None) {
        events.push(takeEvent(bytes, start, at + 1));
        start = at + 1;
        state = CLOSING.None;
        isBegun = false;
      } else if (byte === LINE_FEED) state = CLOSING.LineFeed;
      else if (byte === CARRIAGE_RETURN)
        state = state === CLOSING.LineFeed ? CLOSING.CarriageReturn : CLOSING.None;
      else {
        state = CLOSING.None;
        isBegun = true;
      }
    }
    closing = state;
    hasBegun = isBegun;
    if (start < bytes.length) partial.add(bytes.subarray(start));
    return events;
  }

  return {
    add(bytes) {
      const events = listEvents(bytes);
      return partial.getLength() > EVENT_BYTES_MAX ? undefined : events;
    },
    hasPartialEvent: () => hasBegun,
    takeBlankLines() {
      closing = CLOSING.None;
      hasBegun = false;
      return partial.build();
    },
  };
}
