/** What a ticket desk is told and asks for. */
import type { SlotEnding } from '../gen/peer_pb.js';
import type { AddressedMessage } from '../types/peer-messages.js';
import type { Refusal } from './ticket.js';

/** One shard as an entry sees it. */
export interface ShardRoute {
  readonly shard: string;
  readonly owner: string;
}

/** What an entry asks a slot for. */
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
  readonly excluded: readonly string[];
  readonly isResumed: boolean;
}

/** A slot granted to this entry. */
export interface HeldGrant {
  readonly ticketId: string;
  readonly shard: string;
  readonly endpoint: string;
  readonly isFloor: boolean;
}

/** How a slot was used, told to its owner. */
export interface SlotUse {
  readonly tokens: number;
  readonly stepMs: number;
  readonly firstTokenMs: number;
  readonly ending: SlotEnding;
}

/** What a desk is told. */
export type DeskMessage =
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

/** What a desk asks its shell to do. */
export type DeskCommand =
  | { readonly kind: 'send'; readonly message: AddressedMessage }
  | { readonly kind: 'settle_grant'; readonly grant: HeldGrant }
  | {
      readonly kind: 'settle_refusal';
      readonly ticketId: string;
      readonly reason: Refusal;
      readonly retryAfterMs: number;
    }
  | { readonly kind: 'preempt'; readonly ticketId: string };
