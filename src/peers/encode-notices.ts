/** Converts reports of endpoints that are leaving or want rest to and from their wire form. */
import { create } from '@bufbuild/protobuf';
import { TellNoticesSchema } from '../gen/peer_pb.js';
import type { TellNotices } from '../gen/peer_pb.js';
import type { NoticeReport } from '../endpoint-availability/availability-ledger.js';
import { encodeUint32 } from './encode-uint32.js';

export function encodeNotices(reports: readonly NoticeReport[]): TellNotices {
  return create(TellNoticesSchema, {
    endpoints: reports.map(({ endpoint }) => endpoint),
    leavingAgoMs: reports.map(({ leavingAgoMs }) =>
      leavingAgoMs === undefined ? 0 : encodeUint32(leavingAgoMs + 1),
    ),
    restLeftMs: reports.map(({ restLeftMs }) => encodeUint32(restLeftMs)),
  });
}

export function decodeNotices({
  endpoints,
  leavingAgoMs,
  restLeftMs,
}: TellNotices): NoticeReport[] {
  return endpoints.map((endpoint, index) => {
    const ago = leavingAgoMs[index] ?? 0;
    return {
      endpoint,
      leavingAgoMs: ago === 0 ? undefined : ago - 1,
      restLeftMs: restLeftMs[index] ?? 0,
    };
  });
}
