/** Asks other instances for what they know of the source's tables. */
import type { FetchKnowledgeResponse } from '../gen/peer_pb.js';
import type { DecisionLog } from '../observability/decision-log.js';
import type { KnownRevisions, PeerLinks } from '../peers/peer-links.js';
import type { TimerService } from '../runtime/timer-service.js';

/**
 * News is asked for no more often than this, in milliseconds: a fleet's endpoints register one after the
 * other, and at a start each instance would ask for each of them, 24 times in five seconds.
 */
const UPDATE_FETCH_INTERVAL_MS = 200;

/** Somebody to ask. */
export interface KnowledgePeer {
  readonly name: string;
  readonly address: string;
}

/** What the questions are built on. */
export interface KnowledgeFetcherOptions {
  readonly timers: TimerService;
  readonly log: DecisionLog;
  readonly links: Pick<PeerLinks, 'fetchKnowledge'>;
  readonly getRevisions: () => KnownRevisions;
  readonly getKnowledgeAge: () => number;
  readonly onKnowledge: (peer: string, response: FetchKnowledgeResponse, sentMs: number) => void;
}

/** Questions of one instance. */
export interface KnowledgeFetcher {
  /** Asks a peer; one that is being asked is not asked again meanwhile. */
  startFetch(peer: KnowledgePeer): void;
  /** Asks a peer that told of something new, unless the last such question was a moment ago: what is new is told again. */
  startUpdateFetch(peer: KnowledgePeer): void;
}

/** Builds questions that were not asked. */
export function createKnowledgeFetcher(options: KnowledgeFetcherOptions): KnowledgeFetcher {
  const { timers, log, links } = options;
  const pendingAddresses = new Set<string>();
  let lastUpdateFetchMs = -Infinity;

  async function fetchKnowledge({ name, address }: KnowledgePeer): Promise<void> {
    const sentMs = timers.clock.monotonicMs();
    const knowledgeAgeMs = Math.round(options.getKnowledgeAge());
    try {
      const response = await links.fetchKnowledge(address, options.getRevisions());
      options.onKnowledge(name, response, sentMs);
      log.write({ event: 'knowledge_asked', peer: name, outcome: 'answered', knowledgeAgeMs });
    } catch (error) {
      log.write({ event: 'knowledge_asked', peer: name, outcome: String(error), knowledgeAgeMs });
    }
  }

  function startFetch(peer: KnowledgePeer): void {
    if (pendingAddresses.has(peer.address)) return;
    pendingAddresses.add(peer.address);
    fetchKnowledge(peer)
      .catch(() => undefined)
      .finally(() => pendingAddresses.delete(peer.address));
  }

  return {
    startFetch,
    startUpdateFetch(peer) {
      const nowMs = timers.clock.monotonicMs();
      if (nowMs - lastUpdateFetchMs < UPDATE_FETCH_INTERVAL_MS) return;
      lastUpdateFetchMs = nowMs;
      startFetch(peer);
    },
  };
}
