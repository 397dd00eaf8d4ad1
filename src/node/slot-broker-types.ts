/** The interface of slot brokers, which obtain endpoint slots for an instance's requests. */
import type { LiveInstance, Shard } from '../admission/shard-map.js';
import type { ShardView } from '../admission/owner-messages.js';
import type { HeldGrant, SlotRequest, SlotUse } from '../admission/ticket-client-messages.js';
import type { Refusal } from '../admission/ticket.js';
import type { Declarations } from '../types/declarations.js';
import type { PeerMessageBody } from '../types/peer-messages.js';

/** Peer messages that concern admission. */
export type AdmissionBody = Extract<
  PeerMessageBody,
  {
    case:
      | 'postTicket'
      | 'withdrawTicket'
      | 'releaseSlot'
      | 'reportHoldings'
      | 'grantSlot'
      | 'refuseTicket'
      | 'preemptSlot';
  }
>;

/** Callbacks to a request that waits for or holds a slot. */
export interface SlotListener {
  onGrant(grant: HeldGrant): void;
  onRefusal(ticketId: string, reason: Refusal, retryAfterMs: number): void;
  onPreempt(ticketId: string): void;
}

/** Obtains endpoint slots for the requests of one instance. */
export interface SlotBroker {
  request(request: SlotRequest, listener: SlotListener): void;
  cancel(ticketId: string): void;
  release(ticketId: string, use: SlotUse): void;
  updateProgress(ticketId: string, tokens: number, stepMs: number): void;
  handle(from: string, body: AdmissionBody): void;
  setDeclarations(declarations: Declarations): void;
  setLiveInstances(instances: readonly LiveInstance[]): void;
  removeMember(member: string): void;
  setEndpointLeaving(endpoint: string, isLeaving: boolean): void;
  /** Records the result of an endpoint health check. */
  recordReachability(endpoint: string, isReachable: boolean): void;
  listOwnedShards(): readonly Shard[];
  listShardViews(): ShardView[];
  countPendingTickets(): number;
  countHeldSlots(): number;
}
