/**
 * The listener of an HTTP server for callers. It bounds what one connection takes of the process, and
 * what all of them hold, before the server parses it.
 */
import type { IncomingMessage, Server as HttpServer, ServerResponse } from 'node:http';
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import type { TimerService } from '../runtime/timer-service.js';
import { createCallerStream } from './caller-stream.js';
import type { CallerStream } from './caller-stream.js';
import { createReadTurns } from './read-turns.js';
import { createUnreadBudget } from './unread-budget.js';

/** Bytes of all connections that are read and no request yet. */
const UNREAD_BYTES_TOTAL = 16 * 1024 * 1024;

export interface CallerServer {
  /** Listens in place of the HTTP server. */
  readonly listener: Server;
  /** Whether a connection has bytes left that no request was made of yet. */
  hasUnread(socket: Socket): boolean;
  close(): void;
}

export function createCallerServer(
  server: HttpServer,
  timers: Pick<TimerService, 'clock' | 'subscribeOnce'>,
): CallerServer {
  const streams = new WeakMap<Socket, CallerStream>();
  const unread = createUnreadBudget<CallerStream>(UNREAD_BYTES_TOTAL);
  const turns = createReadTurns({
    getNow: timers.clock.monotonicMs,
    onRested: (restMs, handler) => timers.subscribeOnce(restMs, handler),
  });
  const listener = createServer({ allowHalfOpen: true, noDelay: true }, (raw) => {
    const stream = createCallerStream(raw, { turns, unread });
    streams.set(stream.socket, stream);
    server.emit('connection', stream.socket);
  });
  // Starts the checks of slow heads.
  listener.on('listening', () => server.emit('listening'));
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const stream = streams.get(request.socket);
    stream?.addRequest(request);
    response.once('close', () => stream?.removeRequest());
  });

  return {
    listener,
    hasUnread: (socket) => streams.get(socket)?.hasUnread() ?? false,
    close() {
      listener.close();
      server.close();
      server.closeAllConnections();
    },
  };
}
