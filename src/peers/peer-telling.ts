/** What one instance tells others in datagrams: loads, and what it knows of the source's tables. */
import type { ReceivedLoadUpdate } from '../load-sharing/load-update.js';
import type { PeerTime } from '../duties/true-time.js';
import type { KnowledgeSummary } from './peer-links.js';

/** A telling as it came from a peer. */
export interface PeerTelling extends ReceivedLoadUpdate {
  readonly knowledge: KnowledgeSummary;
  /** Undefined where the peer does not know. */
  readonly time: PeerTime | undefined;
}
