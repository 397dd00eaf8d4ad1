/** The stream that an HTTP server reads and writes in place of a caller's socket. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { createSlicePlan } from './slice-plan.js';
import type { Expected } from './slice-plan.js';
import type { ReadTurns } from './read-turns.js';
import type { UnreadBudget } from './unread-budget.js';

/** Requests of one connection that are handled at once; further ones wait in order, unparsed. */
export const OPEN_REQUESTS_MAX = 4;
/** A connection is not read while it holds so many bytes that may not be parsed yet. */
const HELD_BYTES_MAX = 64 * 1024;

const INTEGER_PATTERN = /^\d+$/;

export interface CallerStream {
  /** What the HTTP server takes for the socket. */
  readonly socket: Socket;
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

interface Chunk {
  readonly chunk: Buffer | string;
  readonly encoding: BufferEncoding;
}

type OnWritten = (error?: Error | null) => void;

/** Methods of a socket that an HTTP server, or what handles its requests, calls. */
function createSocketMethods(raw: Socket, getDuplex: () => Duplex): Partial<Socket> {
  return {
    setTimeout(ms: number) {
      raw.setTimeout(ms);
      return getDuplex() as Socket;
    },
    setNoDelay(isSet?: boolean) {
      raw.setNoDelay(isSet);
      return getDuplex() as Socket;
    },
    setKeepAlive(isSet?: boolean, delayMs?: number) {
      raw.setKeepAlive(isSet, delayMs);
      return getDuplex() as Socket;
    },
    destroySoon() {
      const duplex = getDuplex();
      duplex.end();
      if (duplex.writableFinished) duplex.destroy();
      else duplex.once('finish', () => duplex.destroy());
    },
    resetAndDestroy() {
      raw.resetAndDestroy();
      return getDuplex().destroy() as Socket;
    },
  };
}

function createSocketDuplex(raw: Socket, onRead: () => void): Duplex {
  const duplex = new Duplex({
    allowHalfOpen: true,
    decodeStrings: false,
    read: onRead,
    write(chunk: Buffer | string, encoding: BufferEncoding, onWritten: OnWritten) {
      raw.write(chunk, encoding, onWritten);
    },
    writev(chunks: Chunk[], onWritten: OnWritten) {
      raw.cork();
      chunks.forEach(({ chunk, encoding }, index) => {
        if (index < chunks.length - 1) raw.write(chunk, encoding);
        else raw.write(chunk, encoding, onWritten);
      });
      raw.uncork();
    },
    final(onEnded) {
      raw.end(onEnded);
    },
    destroy(error, onDestroyed) {
      raw.destroy();
      onDestroyed(error);
    },
  });
  Object.assign(
    duplex,
    createSocketMethods(raw, () => duplex),
  );
  Object.defineProperty(duplex, 'remoteAddress', { get: () => raw.remoteAddress });
  raw.on('timeout', () => duplex.emit('timeout'));
  raw.on('error', (error) => duplex.destroy(error));
  raw.on('close', () => duplex.destroy());
  return duplex;
}

function parseExpected({ headers, complete }: IncomingMessage): Expected {
  if (complete) return { kind: 'head' };
  const length = headers['content-length'] ?? '';
  return INTEGER_PATTERN.test(length)
    ? { kind: 'body', leftBytes: Number(length) }
    : { kind: 'chunks' };
}

/** Takes over the reading of a socket. */
export function createCallerStream(
  raw: Socket,
  { turns, unread }: CallerStreamOptions,
): CallerStream {
  const plan = createSlicePlan();
  let held: Buffer = Buffer.alloc(0);
  let headBytes = 0;
  const open = new Set<ServerResponse>();
  let onBrokenOff: ((hasBegun: boolean) => void) | undefined;
  let current: IncomingMessage | undefined;
  let expected: Expected = { kind: 'head' };
  let isReading = false;

  const duplex = createSocketDuplex(raw, () => {
    if (held.length > 0) process.nextTick(startReading);
  });
  const stream: CallerStream = {
    socket: duplex as Socket,
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
      held = Buffer.alloc(0);
      checkBroken();
    },
    hasUnread: () => held.length > 0,
    close: () => duplex.destroy(),
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
    if (duplex.destroyed || duplex.isPaused()) return false;
    return expected.kind !== 'head' || open.size < OPEN_REQUESTS_MAX;
  }

  function recordHeld(): void {
    if (duplex.destroyed) return;
    unread.set(stream, held.length + headBytes)?.close();
  }

  function recordRead(): void {
    recordHeld();
    if (held.length <= HELD_BYTES_MAX && raw.isPaused()) raw.resume();
  }

  function readSlice(): boolean {
    if (isReading || !isReadable()) return false;
    isReading = true;
    const beganMs = performance.now();
    const slice = held.subarray(0, plan.computeLength(held, expected));
    held = held.subarray(slice.length);
    if (expected.kind === 'head') headBytes += slice.length;
    duplex.push(slice);
    updateExpected(slice.length);
    plan.recordCost(performance.now() - beganMs);
    isReading = false;
    recordRead();
    return isReadable();
  }

  const reader = { readSlice };

  function startReading(): void {
    if (isReading) return;
    if (isReadable()) turns.start(reader);
    else recordRead();
  }

  raw.on('data', (bytes: Buffer) => {
    if (onBrokenOff !== undefined) return;
    held = held.length === 0 ? bytes : Buffer.concat([held, bytes]);
    if (held.length > HELD_BYTES_MAX) raw.pause();
    startReading();
  });
  raw.on('end', () => {
    // Its caller has left before all of it was read.
    if (held.length > 0 || onBrokenOff !== undefined) duplex.destroy();
    else duplex.push(null);
  });
  duplex.on('resume', startReading);
  duplex.once('close', () => {
    held = Buffer.alloc(0);
    turns.remove(reader);
    unread.remove(stream);
  });
  return stream;
}
