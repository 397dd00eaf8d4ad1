/**
 * Splits a stream of server-sent events at event boundaries without changing any byte. Returns only
 * complete events, so that a resumed stream is never joined to a partial event.
 */
import { EVENT_BYTES_MAX } from './response-limits.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** A byte order mark may precede the first line, here as its three bytes. */
const LINE_START = '(?:^(?:\u00ef\u00bb\u00bf)?|[\\r\\n])';
const ID_LINES = new RegExp(`${LINE_START}id(?::[ ]?([^\\r\\n]*))?(?=[\\r\\n])`, 'g');
const DATA_LINE = new RegExp(`${LINE_START}data(?=[:\\r\\n])`);

/** One complete event, including its closing blank line. */
export interface StreamEvent {
  /** The last id that it names, as readers of events take it; undefined if it names none. */
  readonly id: string | undefined;
  /** Whether a reader of events gets it; comments and the like are no pieces of the stream. */
  readonly hasData: boolean;
  readonly bytes: Buffer;
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

/** Returns the offset after the blank line that closes the event, or -1. */
function findEventEnd(buffer: Buffer, from: number): number {
  let at = buffer.indexOf(LINE_FEED, from);
  while (at !== -1) {
    if (buffer[at + 1] === LINE_FEED) return at + 2;
    if (buffer[at + 1] === CARRIAGE_RETURN && buffer[at + 2] === LINE_FEED) return at + 3;
    at = buffer.indexOf(LINE_FEED, at + 1);
  }
  return -1;
}

function isLineEnd(byte: number): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

function readEvent(bytes: Buffer): StreamEvent {
  const text = bytes.toString('latin1');
  const idLine = [...text.matchAll(ID_LINES)].at(-1);
  return {
    id: idLine === undefined ? undefined : (idLine[1] ?? ''),
    hasData: DATA_LINE.test(text),
    bytes,
  };
}

export function createEventSplitter(): EventSplitter {
  let partialEvent: Buffer = Buffer.alloc(0);
  return {
    add(bytes) {
      const buffer = partialEvent.length === 0 ? bytes : Buffer.concat([partialEvent, bytes]);
      const events: StreamEvent[] = [];
      let start = 0;
      let end = findEventEnd(buffer, start);
      while (end !== -1) {
        events.push(readEvent(buffer.subarray(start, end)));
        start = end;
        end = findEventEnd(buffer, start);
      }
      partialEvent = buffer.subarray(start);
      return partialEvent.length > EVENT_BYTES_MAX ? undefined : events;
    },
    hasPartialEvent: () => !partialEvent.every(isLineEnd),
    takeBlankLines() {
      const lines = partialEvent;
      partialEvent = Buffer.alloc(0);
      return lines;
    },
  };
}
