/** Interface for messages and calls to peers over connections. */
import type { AttemptVerdict } from '../claims/claim.js';
import type {
  FetchConfigurationResponse,
  FetchKnowledgeResponse,
  PeerMessage,
} from '../gen/peer_pb.js';

/** Revisions of the source's tables that an instance has; 0 for none. */
export interface KnownRevisions {
  readonly configurationRevision: number;
  readonly endpointsRevision: number;
}

/** Time on the source clock that stands for endpoints that were never confirmed. */
export const NEVER_CONFIRMED_MS = 0;

/** Knowledge of an instance, as sent to peers. */
export interface KnowledgeSummary extends KnownRevisions {
  /**
   * Latest time on the source clock at which the configuration is known to have been current;
   * undefined if unknown.
   */
  readonly confirmedAtMs: number | undefined;
  /**
   * Number of revisions after `endpointsRevision` for which no endpoint is known to have changed.
   * @default 0
   */
  readonly endpointsUnchanged?: number;
  /**
   * Latest time on the source clock at which the endpoints are known to have been current, or
   * `NEVER_CONFIRMED_MS`; undefined from instances of earlier releases.
   */
  readonly endpointsConfirmedAtMs?: number;
}

export interface PeerLinks {
  /** Queues a message; it may be lost. */
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
