/** What any way of finding slots for an entry's requests offers. */
import type { LiveInstance, Shard } from '../admission/shard-map.js';
import type { ShardView } from '../admission/owner-messages.js';
import type { HeldGrant, SlotRequest, SlotUse } from '../admission/ticket-client-messages.js';
import type { Refusal } from '../admission/ticket.js';
import type { Declarations } from '../types/declarations.js';
import type { PeerBody } from '../types/peer-messages.js';

/** The admission messages among the messages of peers. */
export type AdmissionBody = Extract<
  PeerBody,
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

/** What the broker tells the request that waits for a slot. */
export interface SlotListener {
  onGrant(grant: HeldGrant): void;
  onRefusal(ticketId: string, reason: Refusal, retryAfterMs: number): void;
  onPreempt(ticketId: string): void;
}

/** Slots for the requests of one entry. */
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
  /** What looking at an endpoint brought. */
  recordReachability(endpoint: string, isReachable: boolean): void;
  /** Shards this entry owns now. */
  listOwnedShards(): readonly Shard[];
  listShardViews(): ShardView[];
  countPendingTickets(): number;
  countHeldSlots(): number;
}
