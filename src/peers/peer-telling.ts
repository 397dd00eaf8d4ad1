/** What one instance tells others in datagrams: loads, and what it knows of the source's tables. */
import type { ReceivedTelling } from '../load-sharing/load-telling.js';
import type { KnowledgeSummary, TimeSummary } from './peer-links.js';

/** A telling as it came from a peer. */
export interface PeerTelling extends ReceivedTelling {
  readonly knowledge: KnowledgeSummary;
  readonly time: TimeSummary;
}
