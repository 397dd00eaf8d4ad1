/** Status of an instance as sent to peers in datagrams: load, knowledge and fleet time. */
import type { ReceivedLoadUpdate } from '../load-sharing/load-update.js';
import type { PeerTime } from '../duties/fleet-time.js';
import type { KnowledgeSummary } from './peer-links.js';

/** One datagram of a status, as received. */
export interface PeerStatus extends ReceivedLoadUpdate {
  readonly knowledge: KnowledgeSummary;
  /** Undefined if unknown to the peer. */
  readonly time: PeerTime | undefined;
}
