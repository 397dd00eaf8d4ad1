/** A request's place in a shard owner's queue. */
export interface Ticket {
  readonly ticketId: string;
  /** The entry instance that holds the request. */
  readonly from: string;
  readonly className: string;
  readonly tier: number;
  readonly organisation: string;
  readonly weight: number;
  readonly expectedTokens: number;
  readonly postedMs: number;
  /** How long the request had waited before it was posted here. */
  readonly waitedMs: number;
  /** After this moment the answer is worth nothing. */
  readonly expiresMs: number;
  readonly prefixHash: number;
  readonly preemptible: boolean;
  readonly excludedEndpoints: readonly string[];
  /** Goes on with an answer that was broken off: placed before the class's other tickets. */
  readonly isResumed: boolean;
  /** This shard was asked first: its owner may preempt for the ticket at once. */
  readonly isPrimaryShard: boolean;
}

/** Why a ticket was turned away. */
export const REFUSAL = {
  QueueFull: 'queue_full',
  Shed: 'shed',
  DeadlineUnreachable: 'deadline_unreachable',
  /** A slot was free, and even with it the answer would have ended too late. */
  TooLate: 'too_late',
  Expired: 'expired',
  UnknownClass: 'unknown_class',
  NoEndpoint: 'no_endpoint',
} as const;
export type Refusal = (typeof REFUSAL)[keyof typeof REFUSAL];
