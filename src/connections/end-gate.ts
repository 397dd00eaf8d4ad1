/**
 * Keeps the end of a connection from being read while it proves nothing of the answer that ends with it.
 * Guards against part of an answer that looks whole: an endpoint that fails while it is sent a long request
 * may close its connection in order, and resets it once more of the request comes.
 */
import type { Socket } from 'node:net';

/** Shorter requests are read by their endpoint before it answers. */
const LONG_REQUEST_BYTES = 64 * 1024;
/** Time from the last byte of the request for the reset of what its endpoint has not read. */
const RESET_WAIT_MS = 100;

export interface EndGate {
  /** An answer that ends with the connection has begun, to a request with a body of this size. */
  start(requestBytes: number): void;
  /** The answer is over. */
  stop(): void;
}

/** Adds the gate to a socket before its first bytes are read. */
export function addEndGate(socket: Socket): EndGate {
  const pushChunk = socket.push.bind(socket);
  let requestBytes = 0;
  let timer: NodeJS.Timeout | undefined;

  function readEnd(): void {
    if (socket.destroyed) return;
    pushChunk(null);
    socket.read(0);
  }

  function startWait(): void {
    timer = setTimeout(readEnd, RESET_WAIT_MS);
  }

  /** A request that is not written out is awaited: its endpoint may read on after its answer. */
  function waitWritten(): void {
    if (socket.writableLength === 0) startWait();
    else socket.once('drain', startWait);
  }

  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    if (chunk !== null || requestBytes <= LONG_REQUEST_BYTES) return pushChunk(chunk, encoding);
    waitWritten();
    return false;
  };
  socket.once('close', () => clearTimeout(timer));
  return {
    start(bytes) {
      requestBytes = bytes;
    },
    stop() {
      requestBytes = 0;
    },
  };
}
