/**
 * Streams to peers that carry exchanges for this instance, over connections of their own: a failed
 * batch or fetch closes the others.
 */
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { Client, Interceptor } from '@connectrpc/connect';
import { Http2SessionManager, createConnectTransport } from '@connectrpc/connect-node';
import type {
  ForwardLinks,
  ForwardListener,
  ForwardStream,
} from '../forwarding/forward-messages.js';
import { PeerService } from '../gen/peer_pb.js';
import type { ForwardRequest as EncodedRequest } from '../gen/peer_pb.js';
import { createAsyncQueue } from '../utils/async-queue.js';
import type { AsyncQueue } from '../utils/async-queue.js';
import { decodeForwardResponse, encodeForwardRequest } from './encode-forwarding.js';
import { PEER_SECRET_HEADER, PING_INTERVAL_MS } from './peer-outbox.js';

const IDLE_TIMEOUT_MS = 15_000;
/** Range of the timers of the runtime. */
const TIMEOUT_MAX_MS = 2 ** 31 - 1;

export interface ForwardLinksOptions {
  readonly secret: string;
}

export function createForwardLinks({ secret }: ForwardLinksOptions): ForwardLinks {
  const clients = new Map<string, Client<typeof PeerService>>();
  const managers = new Set<Http2SessionManager>();
  let isClosed = false;

  const addSecret: Interceptor = (next) => (request) => {
    request.header.set(PEER_SECRET_HEADER, `Bearer ${secret}`);
    return next(request);
  };

  function getClient(address: string): Client<typeof PeerService> {
    const known = clients.get(address);
    if (known !== undefined) return known;
    const sessionManager = new Http2SessionManager(`http://${address}`, {
      pingIntervalMs: PING_INTERVAL_MS,
      idleConnectionTimeoutMs: IDLE_TIMEOUT_MS,
    });
    managers.add(sessionManager);
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '2',
      interceptors: [addSecret],
      // Bodies of calls, which are often compressed already.
      acceptCompression: [],
      sessionManager,
    });
    const client = createClient(PeerService, transport);
    clients.set(address, client);
    return client;
  }

  async function runStream(
    address: string,
    requests: AsyncQueue<EncodedRequest>,
    timeoutMs: number,
    abort: AbortController,
    listener: ForwardListener,
  ): Promise<void> {
    const { signal } = abort;
    try {
      for await (const encoded of getClient(address).forward(requests, {
        signal,
        timeoutMs: Math.min(TIMEOUT_MAX_MS, Math.ceil(timeoutMs)),
      })) {
        if (signal.aborted) return;
        const response = decodeForwardResponse(encoded);
        if (response !== undefined) listener.onResponse(response);
      }
      if (!signal.aborted) listener.onClosed(false, 'the peer ended the stream');
    } catch (error) {
      if (signal.aborted) return;
      const { code, rawMessage } = ConnectError.from(error);
      listener.onClosed(code === Code.Unimplemented, rawMessage);
    }
  }

  return {
    open(address, timeoutMs, listener): ForwardStream {
      const requests = createAsyncQueue<EncodedRequest>();
      const abort = new AbortController();
      if (!isClosed) {
        // Never rejects: errors are reported to the listener.
        runStream(address, requests, timeoutMs, abort, listener).catch(() => undefined);
      }
      return {
        send: (request) => requests.add(encodeForwardRequest(request)),
        close() {
          requests.close();
          abort.abort();
        },
      };
    },
    // The streams on the present connection end by themselves.
    renew: (address) => clients.delete(address),
    close() {
      isClosed = true;
      for (const manager of managers) manager.abort();
      managers.clear();
      clients.clear();
    },
  };
}
