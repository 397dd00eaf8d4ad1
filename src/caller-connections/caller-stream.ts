/** Holds what is read from a caller's socket, and gives it to the HTTP server slice by slice. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { closeQueued } from './close-queued.js';
import { createSlicePlan } from './slice-plan.js';
import type { Expected } from './slice-plan.js';
import type { ReadTurns } from './read-turns.js';
import type { UnreadBudget } from './unread-budget.js';

/** Requests of one connection that are handled at once; further ones wait in order, unparsed. */
export const OPEN_REQUESTS_MAX = 4;
/** A connection is not read while it holds so many bytes that may not be parsed yet. */
const HELD_BYTES_MAX = 64 * 1024;

const NOTHING = Buffer.alloc(0);
const INTEGER_PATTERN = /^\d+$/;

export interface CallerStream {
  /** Follows the response to a request of this stream until it is written out or closed. */
  addResponse(response: ServerResponse): void;
  /**
   * Parses nothing more, and calls `onAnswered` once all requests that were read whole are answered;
   * `hasBegun` tells whether part of another answer was sent.
   */
  closeAfterAnswers(onAnswered: (hasBegun: boolean) => void): void;
  /** Whether bytes are left that no request was made of yet. */
  hasUnread(): boolean;
  close(): void;
}

export interface CallerStreamOptions {
  readonly turns: ReadTurns;
  readonly unread: UnreadBudget<CallerStream>;
}

function parseExpected({ headers, complete }: IncomingMessage): Expected {
  if (complete) return { kind: 'head' };
  const length = headers['content-length'] ?? '';
  return INTEGER_PATTERN.test(length)
    ? { kind: 'body', leftBytes: Number(length) }
    : { kind: 'chunks' };
}

/**
 * Takes over the reading of a socket that an HTTP server has. Both methods of the stream that are
 * replaced are those by which its source and its reader meet.
 */
export function createCallerStream(
  socket: Socket,
  { turns, unread }: CallerStreamOptions,
): CallerStream {
  const pushToServer = socket.push.bind(socket);
  // eslint-disable-next-line no-underscore-dangle -- the name that streams give it
  const readFromSource = socket._read.bind(socket);
  const plan = createSlicePlan();
  let held: Buffer = NOTHING;
  let recordedBytes = 0;
  /** Whether the source waits to be read again. */
  let isStopped = false;
  let headBytes = 0;
  const open = new Set<ServerResponse>();
  let onBrokenOff: ((hasBegun: boolean) => void) | undefined;
  let current: IncomingMessage | undefined;
  let expected: Expected = { kind: 'head' };
  let isReading = false;

  const stream: CallerStream = {
    addResponse(response) {
      current = response.req;
      open.add(response);
      headBytes = 0;
      response.once('close', () => {
        open.delete(response);
        checkBroken();
        startReading();
      });
    },
    closeAfterAnswers(onAnswered) {
      if (onBrokenOff !== undefined) return;
      onBrokenOff = onAnswered;
      held = NOTHING;
      checkBroken();
    },
    hasUnread: () => held.length > 0,
    close: () => socket.destroy(),
  };

  function checkBroken(): void {
    const owed = [...open];
    if (owed.some(({ req }) => req.complete)) return;
    onBrokenOff?.(owed.some(({ headersSent }) => headersSent));
  }

  function updateExpected(fedBytes: number): void {
    if (current === undefined) return;
    if (current.complete) {
      current = undefined;
      expected = { kind: 'head' };
    } else if (expected.kind === 'head') expected = parseExpected(current);
    else if (expected.kind === 'body') {
      expected = { kind: 'body', leftBytes: expected.leftBytes - fedBytes };
    }
  }

  function isReadable(): boolean {
    if (held.length === 0 || onBrokenOff !== undefined) return false;
    if (socket.destroyed || socket.isPaused()) return false;
    return expected.kind !== 'head' || open.size < OPEN_REQUESTS_MAX;
  }

  function recordRead(): void {
    const bytes = held.length + headBytes;
    if (socket.destroyed) return;
    if (bytes !== recordedBytes) unread.set(stream, bytes)?.close();
    recordedBytes = bytes;
    if (!isStopped || held.length > HELD_BYTES_MAX) return;
    isStopped = false;
    readFromSource(0);
  }

  /** Takes the next slice from what is held. */
  function takeSlice(): Buffer {
    const slice = held.subarray(0, plan.computeLength(held, expected));
    held = held.length === slice.length ? NOTHING : held.subarray(slice.length);
    return slice;
  }

  function readSlice(): boolean {
    if (isReading || !isReadable()) return false;
    isReading = true;
    const beganMs = performance.now();
    const { kind } = expected;
    const slice = takeSlice();
    if (kind === 'head') headBytes += slice.length;
    pushToServer(slice);
    updateExpected(slice.length);
    if (kind === 'chunks') plan.recordCost(performance.now() - beganMs);
    isReading = false;
    const hasMore = isReadable();
    if (!hasMore) recordRead();
    return hasMore;
  }

  const reader = { readSlice };

  function startReading(): void {
    if (isReading) return;
    if (isReadable()) turns.start(reader);
    recordRead();
  }

  function handleEnd(): void {
    // Its caller has left before all of it was read.
    if (held.length > 0 || onBrokenOff !== undefined) socket.destroy();
    else pushToServer(null);
  }

  /** Returns whether the source may go on. */
  function handleBytes(bytes: Buffer): boolean {
    if (onBrokenOff !== undefined) return true;
    held = held.length === 0 ? bytes : Buffer.concat([held, bytes]);
    startReading();
    isStopped = held.length > HELD_BYTES_MAX;
    return !isStopped;
  }

  socket.push = (bytes: Buffer | null) => {
    if (bytes !== null) return handleBytes(bytes);
    handleEnd();
    return false;
  };
  // eslint-disable-next-line no-underscore-dangle -- the name that streams give it
  socket._read = (size) => {
    if (held.length > HELD_BYTES_MAX) isStopped = true;
    else readFromSource(size);
  };
  socket.on('resume', startReading);
  /** The runtime tells nobody of the end of responses that wait for their turn on a closed connection. */
  function closeWaiting(): void {
    for (const response of [...open]) {
      if (response.socket === null) {
        response.destroy();
        response.emit('close');
      }
    }
  }

  socket.once('close', () => {
    for (const response of open) closeQueued(response);
    held = NOTHING;
    closeWaiting();
    turns.remove(reader);
    unread.remove(stream);
  });
  return stream;
}
