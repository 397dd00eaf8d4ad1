/** Messages with which an instance asks a holder for a send to a limited endpoint. */
import type { EndpointKey } from '../placement/remote-loads.js';

/** Identifies one attempt of a call in messages: a hash. */
export type PermitId = number;

export interface PermitRequest {
  readonly id: PermitId;
  /** From 0 (most urgent) to 9. */
  readonly urgency: number;
  /** Hash of the organisation's name. */
  readonly organisation: number;
  /** Time that the call can still wait. */
  readonly waitLeftMs: number;
  /** Endpoints that the call may be sent to. */
  readonly endpoints: readonly EndpointKey[];
}

export type PermitReply =
  | { readonly kind: 'granted'; readonly id: PermitId; readonly endpoint: EndpointKey }
  /** More calls wait than can be sent in time. */
  | { readonly kind: 'refused'; readonly id: PermitId; readonly retryAfterMs: number };
