/**
 * Streams to peers that carry exchanges for this instance, over connections of their own: a failed
 * batch or fetch closes the others.
 */
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import type { Client, Interceptor } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type {
  ForwardLinks,
  ForwardListener,
  ForwardStream,
} from '../forwarding/forward-messages.js';
import { PeerService } from '../gen/peer_pb.js';
import type { ForwardRequest as EncodedRequest } from '../gen/peer_pb.js';
import { createAsyncQueue } from '../utils/async-queue.js';
import type { AsyncQueue } from '../utils/async-queue.js';
import { createGate } from '../utils/gate.js';
import type { Gate } from '../utils/gate.js';
import { decodeForwardResponse, encodeForwardRequest } from './encode-forwarding.js';
import { MESSAGE_BYTES_MAX } from './message-limits.js';
import { PEER_SECRET_HEADER } from './peer-outbox.js';
import { createPeerSessions } from './peer-sessions.js';
import type { PeerSessions } from './peer-sessions.js';

const IDLE_TIMEOUT_MS = 15_000;
/** Range of the timers of the runtime. */
const TIMEOUT_MAX_MS = 2 ** 31 - 1;

export interface ForwardLinksOptions {
  readonly secret: string;
}

export function createForwardLinks({ secret }: ForwardLinksOptions): ForwardLinks {
  const clients = new Map<string, Client<typeof PeerService>>();
  const allSessions = new Set<PeerSessions>();
  let isClosed = false;

  const addSecret: Interceptor = (next) => (request) => {
    request.header.set(PEER_SECRET_HEADER, `Bearer ${secret}`);
    return next(request);
  };

  function getClient(address: string): Client<typeof PeerService> {
    const known = clients.get(address);
    if (known !== undefined) return known;
    const sessions = createPeerSessions(address, IDLE_TIMEOUT_MS);
    allSessions.add(sessions);
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '2',
      interceptors: [addSecret],
      // Bodies of calls, which are often compressed already.
      acceptCompression: [],
      sessionManager: sessions,
      readMaxBytes: MESSAGE_BYTES_MAX,
    });
    const client = createClient(PeerService, transport);
    clients.set(address, client);
    return client;
  }

  async function runStream(
    address: string,
    requests: AsyncQueue<EncodedRequest>,
    timeoutMs: number,
    { signal, gate }: { readonly signal: AbortSignal; readonly gate: Gate },
    listener: ForwardListener,
  ): Promise<void> {
    try {
      for await (const encoded of getClient(address).forward(requests, {
        signal,
        timeoutMs: Math.min(TIMEOUT_MAX_MS, Math.ceil(timeoutMs)),
      })) {
        if (signal.aborted) return;
        const response = decodeForwardResponse(encoded);
        if (response !== undefined) listener.onResponse(response);
        if (gate.isClosed()) await gate.waitOpened();
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
      const { signal } = abort;
      const gate = createGate();
      if (!isClosed) {
        // Never rejects: errors are reported to the listener.
        runStream(address, requests, timeoutMs, { signal, gate }, listener).catch(() => undefined);
      }
      return {
        send: (request) => requests.add(encodeForwardRequest(request)),
        pause: () => gate.close(),
        resume: () => gate.open(),
        close() {
          requests.close();
          abort.abort();
          gate.open();
        },
      };
    },
    // The streams on the present connection end by themselves.
    renew: (address) => clients.delete(address),
    close() {
      isClosed = true;
      for (const sessions of allSessions) sessions.abort();
      allSessions.clear();
      clients.clear();
    },
  };
}
