/** What one instance tells others in datagrams: loads, and what it knows of the source's tables. */
import type { ReceivedTelling } from '../load-sharing/load-telling.js';
import type { ToldTime } from '../duties/true-time.js';
import type { KnowledgeSummary } from './peer-links.js';

/** A telling as it came from a peer. */
export interface PeerTelling extends ReceivedTelling {
  readonly knowledge: KnowledgeSummary;
  /** Undefined where the peer does not know. */
  readonly time: ToldTime | undefined;
}
