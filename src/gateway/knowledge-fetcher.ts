/** Fetches other instances' copies of the source's tables. */
import type { FetchKnowledgeResponse } from '../gen/peer_pb.js';
import type { DecisionLog } from '../observability/decision-log.js';
import type { KnownRevisions, PeerLinks } from '../peers/peer-links.js';
import type { TimerService } from '../runtime/timer-service.js';

/** Minimum interval between fetches on updates, so that endpoints which register one by one, as at the start of a fleet, cause few fetches. */
const UPDATE_FETCH_INTERVAL_MS = 200;

export interface KnowledgePeer {
  readonly name: string;
  readonly address: string;
}

export interface KnowledgeFetcherOptions {
  readonly timers: TimerService;
  readonly log: DecisionLog;
  readonly links: Pick<PeerLinks, 'fetchKnowledge'>;
  readonly getRevisions: () => KnownRevisions;
  readonly getKnowledgeAge: () => number;
  readonly onKnowledge: (peer: string, response: FetchKnowledgeResponse, sentMs: number) => void;
}

export interface KnowledgeFetcher {
  /** Fetches from a peer, unless a fetch from it is pending. */
  startFetch(peer: KnowledgePeer): void;
  /** Fetches from a peer that announced an update. Rate limited, since peers repeat their announcements. */
  startUpdateFetch(peer: KnowledgePeer): void;
}

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
