/** Input messages and output commands of the membership state machine. */
import type { DemandShare, Fact, PeerMessage } from '../gen/peer_pb.js';
import type { PeerMessageBody } from '../types/peer-messages.js';

/** The peer messages that carry gossip. */
export type GossipBody = Extract<
  PeerMessageBody,
  { case: 'ping' | 'pingRequest' | 'ack' | 'syncFacts' }
>;

/** An address to probe that may not belong to a member yet. */
export interface Contact {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
}

export type MembershipMessage =
  | { readonly kind: 'received'; readonly from: string; readonly body: GossipBody }
  /** Entries of the platform's list or configured seeds: probed, but not trusted to be members. */
  | { readonly kind: 'contacts'; readonly contacts: readonly Contact[] }
  | { readonly kind: 'configuration'; readonly version: number }
  | { readonly kind: 'demand'; readonly shares: readonly DemandShare[] }
  | {
      readonly kind: 'endpoint';
      readonly endpoint: string;
      readonly isLeaving: boolean;
      readonly wallMs: number;
    }
  /** A message to this address could not be sent. */
  | { readonly kind: 'unreachable'; readonly address: string }
  | { readonly kind: 'leave' }
  | { readonly kind: 'left' }
  | { readonly kind: 'tick' };

export type MembershipCommand =
  | {
      readonly kind: 'send';
      readonly to: string;
      readonly address: string;
      readonly body: PeerMessage['body'];
    }
  | { readonly kind: 'changed'; readonly fact: Fact; readonly before: Fact | undefined };
