/** Serves the peer protocol. Every call must include the peer secret. */
import { createServer } from 'node:http2';
import type {
  Http2Server,
  Http2ServerRequest,
  Http2ServerResponse,
  ServerHttp2Session,
} from 'node:http2';
import { Code, ConnectError } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { AttemptVerdict } from '../claims/claim.js';
import { PeerService } from '../gen/peer_pb.js';
import type {
  FetchConfigurationResponse,
  FetchKnowledgeRequest,
  FetchKnowledgeResponse,
  ForwardRequest as EncodedRequest,
  PeerMessage,
} from '../gen/peer_pb.js';
import { createRequestGate } from '../runtime/request-gate.js';
import { hashText, isSameDigest } from '../utils/hash.js';
import type { ForwardRequest, ForwardResponse } from '../forwarding/forward-messages.js';
import { decodeForwardRequest, encodeForwardResponse } from './encode-forwarding.js';
import { encodeVerdict } from './attempt-verdict.js';
import { MESSAGE_BYTES_MAX } from './message-limits.js';
import { PEER_SECRET_HEADER } from './peer-outbox.js';

const STATUS_UNAUTHORIZED = 401;

export interface PeerHandlers {
  onMessages(from: string, bodies: readonly PeerMessage['body'][]): void;
  onFetchConfiguration(hashes: readonly string[]): FetchConfigurationResponse;
  onQueryAttempt(attemptId: string): AttemptVerdict;
  onFetchKnowledge(request: FetchKnowledgeRequest): FetchKnowledgeResponse;
  /** Carries an exchange with an endpoint for a peer; undefined if this router carries none. */
  readonly onForward?: (
    requests: AsyncIterable<ForwardRequest>,
    signal: AbortSignal,
  ) => AsyncIterable<ForwardResponse>;
}

async function* listRequests(
  encoded: AsyncIterable<EncodedRequest>,
): AsyncGenerator<ForwardRequest> {
  for await (const message of encoded) {
    const request = decodeForwardRequest(message);
    if (request !== undefined) yield request;
  }
}

export interface PeerServer {
  /** Answers with status 503 until `start` is called. */
  readonly server: Http2Server;
  start(secret: string, handlers: PeerHandlers): void;
  close(): Promise<void>;
}

/** Answers as the connect protocol does for `unauthenticated`. */
function refuseSecret(response: Http2ServerResponse): void {
  const message = 'wrong peer secret; set the same one on every instance';
  response.writeHead(STATUS_UNAUTHORIZED, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ code: 'unauthenticated', message }));
}

/** Checks the secret before anything of a body is read, which may be large. */
function createPeerAdapter(secret: string, handlers: PeerHandlers) {
  const expected = hashText(`Bearer ${secret}`);
  const adapter = createServiceAdapter(handlers);
  return (request: Http2ServerRequest, response: Http2ServerResponse): void => {
    const given = hashText(String(request.headers[PEER_SECRET_HEADER] ?? ''));
    if (isSameDigest(given, expected)) adapter(request, response);
    else refuseSecret(response);
  };
}

function createServiceAdapter(handlers: PeerHandlers) {
  return connectNodeAdapter({
    readMaxBytes: MESSAGE_BYTES_MAX,
    routes: (router) => {
      router.service(PeerService, {
        deliver(request) {
          handlers.onMessages(
            request.from,
            request.messages.map((message) => message.body),
          );
          return {};
        },
        fetchConfiguration: (request) => handlers.onFetchConfiguration(request.hashes),
        fetchKnowledge: (request) => handlers.onFetchKnowledge(request),
        async *forward(requests, { signal }) {
          if (handlers.onForward === undefined) {
            throw new ConnectError('this router carries no calls of peers', Code.Unimplemented);
          }
          for await (const response of handlers.onForward(listRequests(requests), signal))
            yield encodeForwardResponse(response);
        },
        queryAttempt: (request) => ({
          verdict: encodeVerdict(handlers.onQueryAttempt(request.attemptId)),
        }),
      });
    },
  });
}

/** Creates the server, which does not listen yet. */
export function createPeerServer(): PeerServer {
  const server = createServer();
  const startServing = createRequestGate(server);
  const sessions = new Set<ServerHttp2Session>();
  server.on('session', (session) => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
    session.on('error', () => session.destroy());
  });
  return {
    server,
    start: (secret, handlers) => startServing(createPeerAdapter(secret, handlers)),
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        for (const session of sessions) session.destroy();
      }),
  };
}
