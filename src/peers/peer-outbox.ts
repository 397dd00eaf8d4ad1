/**
 * Sends messages to peers in batches over connect (HTTP/2), with one batch in flight per peer to
 * preserve order. Queues are bounded and drop the oldest message when full, since every kind of
 * message is repeated or superseded later.
 */
import { createClient } from '@connectrpc/connect';
import type { Client, Interceptor } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { PeerService } from '../gen/peer_pb.js';
import type { PeerMessage } from '../gen/peer_pb.js';
import { METRIC } from '../runtime/metrics.js';
import type { Metrics } from '../runtime/metrics.js';
import { MESSAGE_BYTES_MAX } from './message-limits.js';
import { parseVerdict } from './attempt-verdict.js';
import type { PeerLinks } from './peer-links.js';
import { createPeerSessions } from './peer-sessions.js';
import type { PeerSessions } from './peer-sessions.js';

const QUEUE_MAX = 4096;
const BATCH_MAX = 256;
const CALL_TIMEOUT_MS = 1000;
/** Longer than other calls, since configurations may be large. */
const FETCH_CONFIGURATION_TIMEOUT_MS = 3000;
/** Other peers are asked after it; instances that start on small machines take several hundred. */
const FETCH_KNOWLEDGE_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 60_000;

/** Holds the peer secret as a bearer token. */
export const PEER_SECRET_HEADER = 'authorization';

export interface PeerOutboxOptions {
  readonly self: string;
  readonly incarnation: number;
  readonly secret: string;
  readonly metrics: Metrics;
  /** Called when a batch could not be delivered. */
  readonly onUnreachable: (address: string) => void;
  /**
   * Delay added before each batch, which simulates latency between data centres in benchmarks.
   * @default 0
   */
  readonly getDelayMs?: (address: string) => number;
}

interface PeerLink {
  readonly client: Client<typeof PeerService>;
  readonly sessions: PeerSessions;
  queue: PeerMessage['body'][];
  isSending: boolean;
}

export interface PeerOutbox extends PeerLinks {
  close(): void;
}

export function createPeerOutbox(options: PeerOutboxOptions): PeerOutbox {
  const links = new Map<string, PeerLink>();
  let isClosed = false;

  const addSecret: Interceptor = (next) => (request) => {
    request.header.set(PEER_SECRET_HEADER, `Bearer ${options.secret}`);
    return next(request);
  };

  function getLink(address: string): PeerLink {
    const known = links.get(address);
    if (known !== undefined) return known;
    const sessions = createPeerSessions(address, IDLE_TIMEOUT_MS);
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '2',
      interceptors: [addSecret],
      defaultTimeoutMs: CALL_TIMEOUT_MS,
      readMaxBytes: MESSAGE_BYTES_MAX,
      sessionManager: sessions,
    });
    const client = createClient(PeerService, transport);
    const link: PeerLink = { client, sessions, queue: [], isSending: false };
    links.set(address, link);
    return link;
  }

  async function sendBatch(link: PeerLink, address: string): Promise<void> {
    const batch = link.queue.splice(0, BATCH_MAX);
    const delayMs = options.getDelayMs?.(address) ?? 0;
    if (delayMs > 0) {
      await new Promise<void>((resolve) => {
        setTimeout(resolve, delayMs);
      });
    }
    await link.client.deliver({
      from: options.self,
      incarnation: options.incarnation,
      messages: batch.map((body) => ({ body })),
    });
    options.metrics.count(METRIC.PeerMessagesSent, batch.length);
  }

  async function sendQueue(link: PeerLink, address: string): Promise<void> {
    while (link.queue.length > 0 && !isClosed) {
      try {
        // Sequential batches preserve message order.
        // eslint-disable-next-line no-await-in-loop
        await sendBatch(link, address);
      } catch {
        options.metrics.count(METRIC.PeerMessagesDropped);
        link.sessions.abort();
        if (!isClosed) options.onUnreachable(address);
      }
    }
    link.isSending = false;
  }

  return {
    send(address, body) {
      const link = getLink(address);
      link.queue.push(body);
      if (link.queue.length > QUEUE_MAX) {
        link.queue.shift();
        options.metrics.count(METRIC.PeerMessagesDropped);
      }
      if (link.isSending) return;
      link.isSending = true;
      // Batches all messages queued in this turn of the event loop.
      setImmediate(() => {
        sendQueue(link, address).catch(() => undefined);
      });
    },
    fetchConfiguration: (address, hashes) =>
      getLink(address).client.fetchConfiguration(
        { hashes: [...hashes] },
        { timeoutMs: FETCH_CONFIGURATION_TIMEOUT_MS },
      ),
    async fetchKnowledge(address, known) {
      const link = getLink(address);
      try {
        return await link.client.fetchKnowledge(known, { timeoutMs: FETCH_KNOWLEDGE_TIMEOUT_MS });
      } catch (error) {
        link.sessions.abort();
        throw error;
      }
    },
    async queryAttempt(address, attemptId) {
      const { verdict } = await getLink(address).client.queryAttempt({ attemptId });
      return parseVerdict(verdict);
    },
    close() {
      isClosed = true;
      for (const link of links.values()) link.sessions.abort();
      links.clear();
    },
  };
}
