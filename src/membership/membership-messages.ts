/** What membership is told and asks for. */
import type { DemandShare, Fact, PeerMessage } from '../gen/peer_pb.js';
import type { PeerBody } from '../types/peer-messages.js';

/** The gossip messages among the messages of peers. */
export type GossipBody = Extract<PeerBody, { case: 'ping' | 'pingRequest' | 'ack' | 'syncFacts' }>;

/** Somebody to talk to who may not be a member yet. */
export interface Contact {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
}

/** What membership is told. */
export type MembershipMessage =
  | { readonly kind: 'received'; readonly from: string; readonly body: GossipBody }
  /** The platform's list, or the settings' seeds: to be asked, not to be believed. */
  | { readonly kind: 'contacts'; readonly contacts: readonly Contact[] }
  | { readonly kind: 'configuration'; readonly version: number }
  | { readonly kind: 'demand'; readonly shares: readonly DemandShare[] }
  | {
      readonly kind: 'endpoint';
      readonly endpoint: string;
      readonly isLeaving: boolean;
      readonly wallMs: number;
    }
  /** A message to this address could not be handed over. */
  | { readonly kind: 'unreachable'; readonly address: string }
  | { readonly kind: 'leave' }
  | { readonly kind: 'left' }
  | { readonly kind: 'tick' };

/** What membership asks for. */
export type MembershipCommand =
  | {
      readonly kind: 'send';
      readonly to: string;
      readonly address: string;
      readonly body: PeerMessage['body'];
    }
  | { readonly kind: 'changed'; readonly fact: Fact; readonly before: Fact | undefined };
