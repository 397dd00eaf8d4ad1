/**
 * Bounds what one connection of an HTTP server for callers takes of the process, and what all of them
 * hold, before the server parses it.
 */
import type { IncomingMessage, Server as HttpServer, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { TimerService } from '../runtime/timer-service.js';
import { createCallerStream } from './caller-stream.js';
import type { CallerStream } from './caller-stream.js';
import { createReadTurns } from './read-turns.js';
import { createUnreadBudget } from './unread-budget.js';

/** Bytes of all connections that are read and no request yet. */
const UNREAD_BYTES_TOTAL = 8 * 1024 * 1024;

export interface CallerConnections {
  /** Whether a connection has bytes left that no request was made of yet. */
  hasUnread(socket: Socket): boolean;
}

/** Answers, and closes, a connection whose bytes are no request. */
export type ClientErrorHandler = (
  error: Error & { readonly code?: string },
  socket: Socket,
) => void;

const STATUS_BY_CODE: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const OTHER_STATUS = '400 Bad Request';

/** Answers as the runtime does. */
function handleClientError(error: Error & { readonly code?: string }, socket: Socket): void {
  const status = STATUS_BY_CODE[error.code ?? ''] ?? OTHER_STATUS;
  if (socket.writable) socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  socket.destroy();
}

export interface CallerConnectionsOptions {
  readonly timers: Pick<TimerService, 'clock' | 'subscribeOnce'>;
  /** @default answers with a status and without a body */
  readonly onClientError?: ClientErrorHandler;
}

/** The runtime reads a socket by itself until somebody listens to its bytes. */
function subscribeToBytes(socket: Socket): void {
  const ignoreBytes = (): void => undefined;
  socket.on('data', ignoreBytes);
  socket.off('data', ignoreBytes);
}

/** Call it before the server listens. */
export function createCallerConnections(
  server: HttpServer,
  { timers, onClientError = handleClientError }: CallerConnectionsOptions,
): CallerConnections {
  const streams = new WeakMap<Socket, CallerStream>();
  const unread = createUnreadBudget<CallerStream>(UNREAD_BYTES_TOTAL);
  const turns = createReadTurns({
    getNow: timers.clock.monotonicMs,
    onRested: (restMs, handler) => timers.subscribeOnce(restMs, handler),
  });
  server.on('connection', (socket: Socket) => {
    subscribeToBytes(socket);
    streams.set(socket, createCallerStream(socket, { turns, unread }));
  });
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    streams.get(request.socket)?.addResponse(response);
  });
  server.on('clientError', (error: Error, duplex) => {
    const socket = duplex as Socket;
    const stream = streams.get(socket);
    if (stream === undefined || socket.destroyed) socket.destroy();
    // Requests that were passed on are answered before the connection closes.
    else {
      stream.closeAfterAnswers((hasBegun) => {
        if (hasBegun) socket.destroy();
        else onClientError(error, socket);
      });
    }
  });

  return { hasUnread: (socket) => streams.get(socket)?.hasUnread() ?? false };
}
