/** A request queued at a shard's owner. */
export interface Ticket {
  readonly ticketId: string;
  /** The instance that posted the ticket. */
  readonly from: string;
  readonly className: string;
  readonly tier: number;
  readonly organisation: string;
  readonly weight: number;
  readonly expectedTokens: number;
  readonly postedMs: number;
  /** How long the request had waited before it was posted here. */
  readonly waitedMs: number;
  /** Deadline of the response. */
  readonly expiresMs: number;
  readonly prefixHash: number;
  readonly preemptible: boolean;
  readonly excludedEndpoints: readonly string[];
  /** Continues an interrupted response; served before the other tickets of its class. */
  readonly isResumed: boolean;
  /** Posted to this shard first; other shards wait longer before they preempt for the ticket. */
  readonly isPrimaryShard: boolean;
}

/** Reasons for refusing a ticket. */
export const REFUSAL = {
  QueueFull: 'queue_full',
  Shed: 'shed',
  DeadlineUnreachable: 'deadline_unreachable',
  /** A slot was free, but the response would probably have missed its deadline. */
  TooLate: 'too_late',
  Expired: 'expired',
  UnknownClass: 'unknown_class',
  NoEndpoint: 'no_endpoint',
} as const;
export type Refusal = (typeof REFUSAL)[keyof typeof REFUSAL];
