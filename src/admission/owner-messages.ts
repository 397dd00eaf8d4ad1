/** What a shard owner is told, shows and is built from. */
import type { HeldSlot, PostTicket, ReleaseSlot } from '../gen/peer_pb.js';
import type { EndpointView } from '../routing/endpoint-table.js';
import type { Invariants } from '../runtime/invariants.js';
import type { ClassDeclaration, EndpointDeclaration } from '../types/declarations.js';
import type { AddressedMessage } from '../types/peer-messages.js';
import type { Random } from '../utils/random.js';

/** Everything a shard owner is told. */
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
  /** What looking at an endpoint brought, apart from requests. */
  | { readonly kind: 'endpoint_seen'; readonly endpoint: string; readonly isReachable: boolean }
  /** Data centres without a live entry in sight: their endpoints may be behind a cut. */
  | { readonly kind: 'cut_off'; readonly dataCentres: ReadonlySet<string> }
  | { readonly kind: 'tick' };

/** What operators see of a shard. */
export interface ShardView {
  readonly shard: string;
  readonly endpoints: readonly EndpointView[];
  readonly waiting: Readonly<Record<string, number>>;
  readonly granted: number;
  readonly floorGranted: number;
  readonly shed: number;
  readonly preempted: number;
  /** Longest time a class with waiting work went without a grant, in milliseconds. */
  readonly longestUnservedMs: number;
}

/** Settings of an owner; the switches exist for the bench's baselines. */
export interface ShardOwnerOptions {
  readonly shard: string;
  readonly random: Random;
  readonly invariants: Invariants;
  /** No grants before this moment: time for entries to report what they hold. @default 0 */
  readonly grantsFromMs?: number;
  /** @default true */
  readonly hasFloors?: boolean;
  /** @default true */
  readonly hasPreemption?: boolean;
}

/** The owner of one shard. */
export interface ShardOwner {
  handle(message: OwnerMessage, nowMs: number): AddressedMessage[];
  list(): ShardView;
}
