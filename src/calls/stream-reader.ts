/**
 * Reads the events of one attempt: checks their order and what lies between them, and joins those that
 * come in one piece, so that many small events cost no object each on their way to the caller.
 */
import { createEventOrder } from './event-order.js';
import { createEventSplitter, getBytes } from './event-splitter.js';
import type { StreamEvent } from './event-splitter.js';
import { IDLE_BYTES_MAX, IDLE_EVENTS_MAX } from './response-limits.js';

/** Events that follow each other. */
export interface JoinedEvents {
  /** The last id that they name; undefined if they name none. */
  readonly id: string | undefined;
  /** Whether one of them has data. */
  readonly hasData: boolean;
  readonly bytes: Buffer;
  readonly events: number;
}

export interface StreamPiece {
  /** In order, and cut only between events. */
  readonly joined: readonly JoinedEvents[];
  /** Why the stream is invalid after them. */
  readonly fault?: string;
}

export interface StreamReader {
  add(bytes: Buffer): StreamPiece;
  /** Returns what is left at the end of the stream. */
  takeEnd(): StreamPiece;
}

/** Those of one buffer lie one behind the other. */
function mergeBytes(run: readonly StreamEvent[]): Buffer {
  const [first] = run;
  const last = run.at(-1);
  if (first === undefined || last === undefined) return Buffer.alloc(0);
  if (first.source === last.source) return first.source.subarray(first.start, last.end);
  return Buffer.concat([getBytes(first), mergeBytes(run.slice(1))]);
}

function mergeRun(run: readonly StreamEvent[]): JoinedEvents {
  return {
    id: run.findLast(({ id }) => id !== undefined)?.id,
    hasData: run.some(({ hasData }) => hasData),
    bytes: mergeBytes(run),
    events: run.length,
  };
}

/**
 * Those up to the last id and those after it stay apart: a stream may go on after the id, but not after
 * data that follows without one.
 */
function mergeEvents(events: readonly StreamEvent[]): JoinedEvents[] {
  const named = events.findLastIndex(({ id }) => id !== undefined && id !== '') + 1;
  return [events.slice(0, named), events.slice(named)]
    .filter((run) => run.length > 0)
    .map((run) => mergeRun(run));
}

/** `lastEventId`: the event after which the stream goes on; undefined if it begins. */
export function createStreamReader(lastEventId: string | undefined): StreamReader {
  const splitter = createEventSplitter();
  const order = createEventOrder(lastEventId);
  let idleEvents = 0;
  let idleBytes = 0;

  function isWithinIdle({ hasData, start, end }: StreamEvent): boolean {
    idleEvents = hasData ? 0 : idleEvents + 1;
    idleBytes = hasData ? 0 : idleBytes + end - start;
    return idleEvents <= IDLE_EVENTS_MAX && idleBytes <= IDLE_BYTES_MAX;
  }

  function findFault(event: StreamEvent): string | undefined {
    if (!order.record(event.id)) return `event ${event.id} comes again or too late`;
    return isWithinIdle(event) ? undefined : 'too many comments without an event';
  }

  return {
    add(bytes) {
      const events = splitter.add(bytes);
      if (events === undefined) return { joined: [], fault: 'event exceeds the size limit' };
      for (const [index, event] of events.entries()) {
        const fault = findFault(event);
        if (fault !== undefined) return { joined: mergeEvents(events.slice(0, index)), fault };
      }
      return { joined: mergeEvents(events) };
    },
    takeEnd() {
      if (splitter.hasPartialEvent()) return { joined: [], fault: 'stream ended within an event' };
      const bytes = splitter.takeBlankLines();
      if (bytes.length === 0) return { joined: [] };
      return { joined: [{ id: undefined, hasData: false, bytes, events: 1 }] };
    },
  };
}
