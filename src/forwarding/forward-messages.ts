/** Messages of calls through peers; docs/design/calls-through-peers.md is their protocol. */
import type { EndpointRequest } from '../calls/endpoint-connections.js';
import type { HeaderField } from '../calls/call-messages.js';

/** Why a peer does not take a call. */
export const FORWARD_REFUSAL = {
  Leaving: 'leaving',
  /** It carries as many exchanges as it may. */
  Busy: 'busy',
  /** Its own path to the endpoint is not open. */
  PathLost: 'path_lost',
  /** It does not know that start of the endpoint. */
  EndpointUnknown: 'endpoint_unknown',
  /** The endpoint leaves or rests. */
  EndpointUnavailable: 'endpoint_unavailable',
  /** A newer configuration sends the call elsewhere. */
  Outdated: 'outdated',
  /** No slot of its share of a brittle endpoint is free. */
  NoSlot: 'no_slot',
} as const;
export type ForwardRefusal = (typeof FORWARD_REFUSAL)[keyof typeof FORWARD_REFUSAL];

/** What a peer decides by; nothing runs before it has accepted and got the request. */
export interface ForwardOffer {
  /** Name of the instance that sends it. */
  readonly from: string;
  readonly callId: string;
  readonly pool: string;
  /** The start of the endpoint that the call was placed at. */
  readonly endpointStart: string;
  readonly organisation: string | undefined;
  readonly host: string;
  readonly path: string;
  /** The version that the call was routed by. */
  readonly configurationVersion: number;
  /** Time of the source's clock at which the key was surely valid; undefined for calls without one. */
  readonly keyConfirmedAtMs: number | undefined;
  readonly remainingMs: number;
  /** The endpoint is brittle, and the peer uses a slot of its own share for the call. */
  readonly usesShare: boolean;
}

/** From the sender. */
export type ForwardRequest =
  | { readonly kind: 'offer'; readonly offer: ForwardOffer }
  | { readonly kind: 'request'; readonly request: EndpointRequest };

/** From the peer. */
export type ForwardResponse =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'refused'; readonly reason: ForwardRefusal }
  | { readonly kind: 'head'; readonly status: number; readonly headers: readonly HeaderField[] }
  | { readonly kind: 'data'; readonly bytes: Buffer }
  /** The response is complete. */
  | { readonly kind: 'ended' }
  | { readonly kind: 'failed'; readonly isSent: boolean; readonly reason: string }
  /** Nothing was sent, since the endpoint takes no requests any more. */
  | { readonly kind: 'withheld' };

/** Receives what a peer sends; nothing follows `onClosed`. */
export interface ForwardListener {
  onResponse(response: ForwardResponse): void;
  /** The stream ended or broke. `isUnsupported`: the peer's release does not know the call. */
  onClosed(isUnsupported: boolean, reason: string): void;
}

/** A stream to a peer that carries one exchange. */
export interface ForwardStream {
  send(request: ForwardRequest): void;
  /** Reads no more of what the peer sends, so that it is held back. */
  pause(): void;
  resume(): void;
  /** Ends it without further notifications. */
  close(): void;
}

/** Opens streams to peers. */
export interface ForwardLinks {
  open(address: string, timeoutMs: number, listener: ForwardListener): ForwardStream;
  /** Uses a new connection from now on, since the present one does not answer. */
  renew(address: string): void;
  close(): void;
}
