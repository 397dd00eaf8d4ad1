/** Messages to the ticket client and commands from it. */
import type { SlotEnding } from '../gen/peer_pb.js';
import type { AddressedMessage } from '../types/peer-messages.js';
import type { Refusal } from './ticket.js';

/** A shard and its owning instance. */
export interface ShardRoute {
  readonly shard: string;
  readonly owner: string;
}

/** A request for a slot in a pool. */
export interface SlotRequest {
  readonly ticketId: string;
  readonly pool: string;
  readonly className: string;
  readonly organisation: string;
  readonly expectedTokens: number;
  /** On the monotonic clock, in milliseconds. */
  readonly expiresMs: number;
  readonly requestedMs: number;
  readonly prefixHash: number;
  readonly preemptible: boolean;
  readonly excludedEndpoints: readonly string[];
  readonly isResumed: boolean;
}

/** A slot granted to this instance. */
export interface HeldGrant {
  readonly ticketId: string;
  readonly shard: string;
  readonly endpoint: string;
  readonly isFloor: boolean;
}

/** Usage of a slot, reported to its owner on release. */
export interface SlotUse {
  readonly tokens: number;
  readonly stepMs: number;
  readonly firstTokenMs: number;
  readonly ending: SlotEnding;
  /** Rest that the endpoint still wants from this instance; 0 if none. */
  readonly restMs: number;
}

/** Input of the ticket client. */
export type TicketClientMessage =
  | { readonly kind: 'request'; readonly request: SlotRequest }
  | { readonly kind: 'cancel'; readonly ticketId: string }
  | { readonly kind: 'release'; readonly ticketId: string; readonly use: SlotUse }
  | {
      readonly kind: 'progress';
      readonly ticketId: string;
      readonly tokens: number;
      readonly stepMs: number;
    }
  | { readonly kind: 'granted'; readonly grant: HeldGrant }
  | {
      readonly kind: 'refused';
      readonly ticketId: string;
      readonly shard: string;
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'preempt'; readonly ticketId: string }
  | { readonly kind: 'routes'; readonly routes: ReadonlyMap<string, readonly ShardRoute[]> }
  | { readonly kind: 'report' }
  | { readonly kind: 'tick' };

/** Side effects that the caller of the ticket client carries out. */
export type TicketClientCommand =
  | { readonly kind: 'send'; readonly message: AddressedMessage }
  | { readonly kind: 'settle_grant'; readonly grant: HeldGrant }
  | {
      readonly kind: 'settle_refusal';
      readonly ticketId: string;
      readonly reason: Refusal;
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'preempt'; readonly ticketId: string };
