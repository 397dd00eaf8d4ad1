/** Builds a shard owner's messages to the instances that posted tickets. */
import type { AddressedMessage } from '../types/peer-messages.js';
import type { Refusal } from './ticket.js';

export function buildGrant(
  to: string,
  shard: string,
  ticketId: string,
  endpoint: string,
  floor: boolean,
): AddressedMessage {
  const value = {
    $typeName: 'hyssoptally.peer.v1.GrantSlot' as const,
    ticketId,
    shard,
    endpoint,
    floor,
  };
  return { to, body: { case: 'grantSlot', value } };
}

export function buildRefusal(
  to: string,
  shard: string,
  ticketId: string,
  reason: Refusal,
  retryAfterMs: number,
): AddressedMessage {
  const $typeName = 'hyssoptally.peer.v1.RefuseTicket' as const;
  const value = { $typeName, ticketId, shard, reason, retryAfterMs };
  return { to, body: { case: 'refuseTicket', value } };
}

export function buildPreemption(to: string, shard: string, ticketId: string): AddressedMessage {
  const value = { $typeName: 'hyssoptally.peer.v1.PreemptSlot' as const, ticketId, shard };
  return { to, body: { case: 'preemptSlot', value } };
}
