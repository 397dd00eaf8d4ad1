/** The connections of an HTTP server to its callers, and the responses that it owes them. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';

export interface OpenResponses {
  /** Number of responses that are neither written out nor closed. */
  count(): number;
  /** Responses without a head whose request has not come in whole. */
  listUnread(): ServerResponse[];
  /**
   * Closes the connection of a response after its last answer; call it before the head is written.
   * Returns whether this answer is the last, so that it must say `Connection: close`: the runtime closes
   * the connection after an answer that says so, also while requests behind it have no answer yet.
   */
  closeAfter(response: ServerResponse): boolean;
  /** Closes the connection once it has no open response, without a word in an answer. */
  closeOnceIdle(response: ServerResponse): void;
  /** Whether no further request of this connection may be served, since its last answer is written. */
  isClosing(socket: Socket): boolean;
  /**
   * Closes each connection as soon as it has no open response; from now on none is kept for a next
   * request. The server's own `close` and `closeIdleConnections` destroy connections whose response was
   * ended and is still being written out.
   */
  closeIdle(): void;
}

/**
 * Follows the connections and responses of a server; create it before the listener of the requests.
 * `hasUnread`: whether bytes of a connection are read that no request was made of yet.
 */
export function createOpenResponses(
  server: Server,
  hasUnread: (socket: Socket) => boolean,
): OpenResponses {
  const open = new Map<ServerResponse, IncomingMessage>();
  const openBySocket = new Map<Socket, Set<ServerResponse>>();
  const idle = new Set<Socket>();
  /** Connections that end once they are idle. */
  const ending = new WeakSet<Socket>();
  /** Connections whose last answer is written. */
  const closing = new WeakSet<Socket>();
  let isClosingAll = false;

  function closeConnection(socket: Socket): void {
    closing.add(socket);
    socket.end();
  }

  function recordClosed(response: ServerResponse, { socket }: IncomingMessage): void {
    open.delete(response);
    const others = openBySocket.get(socket);
    others?.delete(response);
    if (others !== undefined && others.size > 0) return;
    openBySocket.delete(socket);
    if (socket.destroyed || hasUnread(socket)) return;
    if (isClosingAll || ending.has(socket)) closeConnection(socket);
    else idle.add(socket);
  }

  /** A request that has arrived may still be unread: the event loop polls again before its connection ends. */
  async function closeIdleConnections(): Promise<void> {
    await setImmediate();
    await setImmediate();
    for (const socket of idle) {
      if (!hasUnread(socket)) closeConnection(socket);
    }
    idle.clear();
  }

  server.on('connection', (socket: Socket) => {
    idle.add(socket);
    socket.once('close', () => idle.delete(socket));
  });
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    open.set(response, request);
    openBySocket.set(socket, (openBySocket.get(socket) ?? new Set()).add(response));
    idle.delete(socket);
    response.once('close', () => recordClosed(response, request));
  });

  return {
    count: () => open.size,
    listUnread: () =>
      [...open]
        .filter(([response, request]) => !request.complete && !response.headersSent)
        .map(([response]) => response),
    closeAfter(response) {
      const { socket } = response.req;
      ending.add(socket);
      // No request can follow one that has not been read to its end.
      const isOnly = openBySocket.get(socket)?.size === 1 && !hasUnread(socket);
      const isLast = isOnly || !response.req.complete;
      if (isLast) closing.add(socket);
      return isLast;
    },
    closeOnceIdle(response) {
      ending.add(response.req.socket);
    },
    isClosing: (socket) => closing.has(socket),
    closeIdle() {
      isClosingAll = true;
      // Never rejects: nothing in it throws.
      closeIdleConnections().catch(() => undefined);
    },
  };
}
