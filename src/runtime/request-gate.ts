/** Requests that reach a server before its process has started. */
import type { EventEmitter } from 'node:events';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Http2Server, Http2ServerRequest, Http2ServerResponse } from 'node:http2';

const STATUS_UNAVAILABLE = 503;

type AnyResponse = Pick<ServerResponse | Http2ServerResponse, 'statusCode'> & { end(): unknown };

function refuseRequest(_: unknown, response: AnyResponse): void {
  response.statusCode = STATUS_UNAVAILABLE;
  response.end();
}

/** The listener that serves the requests. */
type Listener<Request, Response> = (request: Request, response: Response) => void;

export function createRequestGate(
  server: Server,
): (serve: Listener<IncomingMessage, ServerResponse>) => void;
export function createRequestGate(
  server: Http2Server,
): (serve: Listener<Http2ServerRequest, Http2ServerResponse>) => void;
/**
 * Answers requests with status 503, so that health checks and peers take the instance as away, until
 * the returned function is called with the listener that serves them.
 */
export function createRequestGate(
  server: EventEmitter,
): (serve: (...args: never[]) => void) => void {
  server.on('request', refuseRequest);
  return (serve) => {
    server.off('request', refuseRequest);
    server.on('request', serve as (...args: unknown[]) => void);
  };
}
