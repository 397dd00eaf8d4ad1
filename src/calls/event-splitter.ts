/**
 * Splits a stream of server-sent events at event boundaries without changing any byte. Returns only
 * complete events, so that a resumed stream is never joined to a partial event.
 */
import { EVENT_BYTES_MAX } from './response-limits.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /(?:^|\n)id:[ ]?([^\r\n]*)/;

/** One complete event, including its closing blank line. */
export interface StreamEvent {
  readonly id: string | undefined;
  readonly bytes: Buffer;
}

/** Splitter of one stream. */
export interface EventSplitter {
  /** Returns the events completed by these bytes; undefined if an event exceeds `EVENT_BYTES_MAX`. */
  add(bytes: Buffer): StreamEvent[] | undefined;
  hasPartialEvent(): boolean;
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

export function createEventSplitter(): EventSplitter {
  let partialEvent: Buffer = Buffer.alloc(0);
  return {
    add(bytes) {
      const buffer = partialEvent.length === 0 ? bytes : Buffer.concat([partialEvent, bytes]);
      const events: StreamEvent[] = [];
      let start = 0;
      let end = findEventEnd(buffer, start);
      while (end !== -1) {
        const event = buffer.subarray(start, end);
        events.push({ id: ID_LINE.exec(event.toString('latin1'))?.[1], bytes: event });
        start = end;
        end = findEventEnd(buffer, start);
      }
      partialEvent = buffer.subarray(start);
      return partialEvent.length > EVENT_BYTES_MAX ? undefined : events;
    },
    hasPartialEvent: () => partialEvent.length > 0,
  };
}
