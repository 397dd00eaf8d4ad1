/** What an instance needs of its links to peers; the outbox is one way, a test's fake another. */
import type { AttemptVerdict } from '../claims/claim.js';
import type {
  FetchConfigurationResponse,
  FetchKnowledgeResponse,
  PeerMessage,
} from '../gen/peer_pb.js';

/** What the asking instance has of the source's tables; 0 for nothing. */
export interface KnownRevisions {
  readonly configurationRevision: number;
  readonly endpointsRevision: number;
}

/** What an instance tells of its knowledge. */
export interface KnowledgeSummary extends KnownRevisions {
  /** The moment on the source's clock at which its configuration was surely the newest; undefined while unknown. */
  readonly confirmedAtMs: number | undefined;
}

/** Links to peers, by address. */
export interface PeerLinks {
  /** Hands a message over some time; it may be lost. */
  send(address: string, body: PeerMessage['body']): void;
  /** Rejects when the peer does not answer. */
  fetchConfiguration(
    address: string,
    hashes: readonly string[],
  ): Promise<FetchConfigurationResponse>;
  /** Rejects when the peer does not answer. */
  fetchKnowledge(address: string, known: KnownRevisions): Promise<FetchKnowledgeResponse>;
  /** Rejects when the peer does not answer. */
  queryAttempt(address: string, attemptId: string): Promise<AttemptVerdict>;
}
