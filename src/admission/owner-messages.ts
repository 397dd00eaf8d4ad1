/** Input, status and options of a shard owner. */
import type { HeldSlot, PostTicket, ReleaseSlot } from '../gen/peer_pb.js';
import type { EndpointView } from '../routing/endpoint-table.js';
import type { Invariants } from '../runtime/invariants.js';
import type { ClassDeclaration, EndpointDeclaration } from '../types/declarations.js';
import type { AddressedMessage } from '../types/peer-messages.js';
import type { Random } from '../utils/random.js';

/** Input of a shard owner. */
export type OwnerMessage =
  | {
      readonly kind: 'configure';
      readonly classes: ReadonlyMap<string, ClassDeclaration>;
      readonly weights: (organisation: string) => number;
      readonly endpoints: readonly EndpointDeclaration[];
    }
  | { readonly kind: 'post'; readonly from: string; readonly ticket: PostTicket }
  | { readonly kind: 'withdraw'; readonly from: string; readonly ticketId: string }
  | { readonly kind: 'release'; readonly from: string; readonly release: ReleaseSlot }
  | { readonly kind: 'holdings'; readonly from: string; readonly held: readonly HeldSlot[] }
  | { readonly kind: 'member_gone'; readonly member: string }
  | { readonly kind: 'endpoint_leaving'; readonly endpoint: string; readonly isLeaving: boolean }
  /** Result of a health probe. */
  | { readonly kind: 'endpoint_seen'; readonly endpoint: string; readonly isReachable: boolean }
  /** Data centres without a known live instance, possibly behind a network partition. */
  | { readonly kind: 'cut_off'; readonly dataCentres: ReadonlySet<string> }
  | { readonly kind: 'tick' };

/** Shard status for operators. */
export interface ShardView {
  readonly shard: string;
  readonly endpoints: readonly EndpointView[];
  readonly waiting: Readonly<Record<string, number>>;
  readonly granted: number;
  readonly floorGranted: number;
  readonly shed: number;
  readonly preempted: number;
  /** Longest time that a class with queued tickets received no grant. */
  readonly longestUnservedMs: number;
}

/** Options of a shard owner; floors and preemption are switched off only in benchmarks. */
export interface ShardOwnerOptions {
  readonly shard: string;
  readonly random: Random;
  readonly invariants: Invariants;
  /** No grants before this time, so that instances can report the slots they hold. @default 0 */
  readonly grantsFromMs?: number;
  /** @default true */
  readonly hasFloors?: boolean;
  /** @default true */
  readonly hasPreemption?: boolean;
}

export interface ShardOwner {
  handle(message: OwnerMessage, nowMs: number): AddressedMessage[];
  getView(): ShardView;
}
