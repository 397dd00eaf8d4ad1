/** The responses that an HTTP server owes to its callers or has not written out yet. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

export interface OpenResponses {
  /** Number of responses that are neither written out nor closed. */
  count(): number;
  /** Responses without a head whose request has not come in whole. */
  listUnread(): ServerResponse[];
}

/** Follows the responses of a server from now on. */
export function createOpenResponses(server: Server): OpenResponses {
  const open = new Map<ServerResponse, IncomingMessage>();
  server.on('request', (request: IncomingMessage, response: ServerResponse) => {
    open.set(response, request);
    response.once('close', () => open.delete(response));
  });
  return {
    count: () => open.size,
    listUnread: () =>
      [...open]
        .filter(([response, request]) => !request.complete && !response.headersSent)
        .map(([response]) => response),
  };
}
