/** Converts reports of rate limits, and requests for sends to limited endpoints, to and from their wire form. */
import { create } from '@bufbuild/protobuf';
import {
  PermitRepliesSchema,
  PermitReplySchema,
  PermitRequestSchema,
  PermitRequestsSchema,
  TellLimitsSchema,
} from '../gen/peer_pb.js';
import type { PermitReplies, PermitRequests, TellLimits } from '../gen/peer_pb.js';
import type { LimitReport } from '../endpoint-limits/limit-ledger.js';
import type { PermitReply, PermitRequest } from '../endpoint-limits/permit-messages.js';
import { encodeUint32 } from './encode-uint32.js';

const MILLI = 1000;

/** A limit is at least 1 on the wire, since 0 stands for a lifted one. */
function encodeRate(perSecond: number | undefined): number {
  return perSecond === undefined ? 0 : Math.max(1, encodeUint32(perSecond * MILLI));
}

export function encodeLimits(reports: readonly LimitReport[]): TellLimits {
  return create(TellLimitsSchema, {
    endpoints: reports.map(({ endpoint }) => endpoint),
    milliPerSecond: reports.map(({ perSecond }) => encodeRate(perSecond)),
    agoMs: reports.map(({ ageMs }) => encodeUint32(ageMs)),
  });
}

export function decodeLimits({ endpoints, milliPerSecond, agoMs }: TellLimits): LimitReport[] {
  return endpoints.map((endpoint, index) => {
    const milli = milliPerSecond[index] ?? 0;
    return {
      endpoint,
      perSecond: milli === 0 ? undefined : milli / MILLI,
      ageMs: agoMs[index] ?? 0,
    };
  });
}

export function encodePermitRequests(requests: readonly PermitRequest[]): PermitRequests {
  return create(PermitRequestsSchema, {
    requests: requests.map(({ id, urgency, organisation, waitLeftMs, endpoints }) =>
      create(PermitRequestSchema, {
        id,
        urgency: encodeUint32(urgency),
        organisation,
        waitLeftMs: encodeUint32(waitLeftMs),
        endpoints: [...endpoints],
      }),
    ),
  });
}

export function decodePermitRequests({ requests }: PermitRequests): PermitRequest[] {
  return requests.map(({ id, urgency, organisation, waitLeftMs, endpoints }) => ({
    id,
    urgency,
    organisation,
    waitLeftMs,
    endpoints,
  }));
}

export function encodePermitReplies(replies: readonly PermitReply[]): PermitReplies {
  return create(PermitRepliesSchema, {
    replies: replies.map((reply) =>
      create(
        PermitReplySchema,
        reply.kind === 'granted'
          ? { id: reply.id, endpoint: reply.endpoint }
          : { id: reply.id, retryAfterMs: encodeUint32(reply.retryAfterMs) },
      ),
    ),
  });
}

export function decodePermitReplies({ replies }: PermitReplies): PermitReply[] {
  return replies.map(({ id, endpoint, retryAfterMs }) =>
    endpoint === undefined
      ? { kind: 'refused', id, retryAfterMs }
      : { kind: 'granted', id, endpoint },
  );
}
