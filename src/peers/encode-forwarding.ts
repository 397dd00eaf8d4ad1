/** Converts messages of calls through peers to and from their protobuf form. */
import { create } from '@bufbuild/protobuf';
import type { HeaderField } from '../calls/call-messages.js';
import { FORWARD_REFUSAL } from '../forwarding/forward-messages.js';
import type {
  ForwardOffer,
  ForwardRefusal,
  ForwardRequest,
  ForwardResponse,
} from '../forwarding/forward-messages.js';
import {
  ForwardRefusal as EncodedRefusal,
  ForwardRequestSchema,
  ForwardResponseSchema,
} from '../gen/peer_pb.js';
import type {
  ForwardOffer as EncodedOffer,
  ForwardRequest as EncodedRequest,
  ForwardResponse as EncodedResponse,
  ForwardedHeader,
} from '../gen/peer_pb.js';
import { assertNever } from '../utils/assert-never.js';

const ENCODED_REFUSALS: Readonly<Record<ForwardRefusal, EncodedRefusal>> = {
  leaving: EncodedRefusal.LEAVING,
  busy: EncodedRefusal.BUSY,
  path_lost: EncodedRefusal.PATH_LOST,
  endpoint_unknown: EncodedRefusal.ENDPOINT_UNKNOWN,
  endpoint_unavailable: EncodedRefusal.ENDPOINT_UNAVAILABLE,
  outdated: EncodedRefusal.OUTDATED,
  no_slot: EncodedRefusal.NO_SLOT,
};

function decodeHeaders(headers: readonly ForwardedHeader[]): HeaderField[] {
  return headers.map(({ name, value }) => ({ name, value }));
}

function encodeHeaders(headers: readonly HeaderField[]): { name: string; value: string }[] {
  return headers.map(({ name, value }) => ({ name, value }));
}

function encodeOffer({ organisation, keyConfirmedAtMs, ...offer }: ForwardOffer) {
  return {
    ...offer,
    ...(organisation === undefined ? {} : { organisation }),
    ...(keyConfirmedAtMs === undefined ? {} : { keyConfirmedAtMs }),
  };
}

function decodeOffer(offer: EncodedOffer): ForwardOffer {
  const { $typeName, $unknown, organisation, keyConfirmedAtMs, ...fields } = offer;
  return { ...fields, organisation, keyConfirmedAtMs };
}

export function encodeForwardRequest(message: ForwardRequest): EncodedRequest {
  switch (message.kind) {
    case 'offer':
      return create(ForwardRequestSchema, {
        body: { case: 'offer', value: encodeOffer(message.offer) },
      });
    case 'request': {
      const { method, target, headers, body } = message.request;
      const value = { method, target, headers: encodeHeaders(headers), body };
      return create(ForwardRequestSchema, { body: { case: 'request', value } });
    }
    default:
      return assertNever(message);
  }
}

/** Undefined for a kind of message of a newer release. */
export function decodeForwardRequest({ body }: EncodedRequest): ForwardRequest | undefined {
  switch (body.case) {
    case 'offer':
      return { kind: 'offer', offer: decodeOffer(body.value) };
    case 'request': {
      const { method, target, headers, body: bytes } = body.value;
      const request = { method, target, headers: decodeHeaders(headers), body: Buffer.from(bytes) };
      return { kind: 'request', request };
    }
    default:
      return undefined;
  }
}

function encodeResponseBody(message: ForwardResponse): EncodedResponse['body'] {
  const { body } = create(ForwardResponseSchema, { body: buildResponseInit(message) });
  return body;
}

type ResponseInit = NonNullable<Parameters<typeof create<typeof ForwardResponseSchema>>[1]>['body'];

function buildResponseInit(message: ForwardResponse): ResponseInit {
  switch (message.kind) {
    case 'accepted':
      return { case: 'accepted', value: {} };
    case 'refused':
      return { case: 'refused', value: { reason: ENCODED_REFUSALS[message.reason] } };
    case 'head':
      return {
        case: 'head',
        value: { status: message.status, headers: encodeHeaders(message.headers) },
      };
    case 'data':
      return { case: 'data', value: message.bytes };
    case 'ended':
      return { case: 'ended', value: {} };
    case 'failed':
      return { case: 'failed', value: { isSent: message.isSent, reason: message.reason } };
    case 'withheld':
      return { case: 'withheld', value: {} };
    default:
      return assertNever(message);
  }
}

export function encodeForwardResponse(message: ForwardResponse): EncodedResponse {
  return create(ForwardResponseSchema, { body: encodeResponseBody(message) });
}

/** A reason of a newer release counts as the plainest one: the peer cannot help now. */
function decodeRefusal(encoded: EncodedRefusal): ForwardRefusal {
  const found = Object.values(FORWARD_REFUSAL).find(
    (reason) => ENCODED_REFUSALS[reason] === encoded,
  );
  return found ?? FORWARD_REFUSAL.Busy;
}

/** Undefined for a kind of message of a newer release. */
export function decodeForwardResponse({ body }: EncodedResponse): ForwardResponse | undefined {
  switch (body.case) {
    case 'accepted':
    case 'ended':
    case 'withheld':
      return { kind: body.case };
    case 'refused':
      return { kind: 'refused', reason: decodeRefusal(body.value.reason) };
    case 'head':
      return {
        kind: 'head',
        status: body.value.status,
        headers: decodeHeaders(body.value.headers),
      };
    case 'data':
      return { kind: 'data', bytes: Buffer.from(body.value) };
    case 'failed':
      return { kind: 'failed', isSent: body.value.isSent, reason: body.value.reason };
    default:
      return undefined;
  }
}
