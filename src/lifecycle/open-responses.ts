/** The connections of an HTTP server to its callers, and the responses that it owes them. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

export interface OpenResponses {
  /** Number of responses that are neither written out nor closed. */
  count(): number;
  /** Responses without a head whose request has not come in whole. */
  listUnread(): ServerResponse[];
  /**
   * Closes each connection as soon as it has no open response; from now on none is kept for a next
   * request. The server's own `close` and `closeIdleConnections` destroy connections whose response was
   * ended and is still being written out.
   */
  closeIdle(): void;
}

/** Follows the connections and responses of a server from now on. */
export function createOpenResponses(server: Server): OpenResponses {
  const open = new Map<ServerResponse, IncomingMessage>();
  const idle = new Set<Socket>();
  let isClosing = false;

  function recordClosed(response: ServerResponse, { socket }: IncomingMessage): void {
    open.delete(response);
    if (socket.destroyed) return;
    if (isClosing) socket.end();
    else idle.add(socket);
  }

  server.on('connection', (socket: Socket) => {
    idle.add(socket);
    socket.once('close', () => idle.delete(socket));
  });
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    open.set(response, request);
    idle.delete(request.socket);
    response.once('close', () => recordClosed(response, request));
  });

  return {
    count: () => open.size,
    listUnread: () =>
      [...open]
        .filter(([response, request]) => !request.complete && !response.headersSent)
        .map(([response]) => response),
    closeIdle() {
      isClosing = true;
      for (const socket of idle) socket.end();
      idle.clear();
    },
  };
}
