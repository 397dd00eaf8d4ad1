/** Converts reports of brittle endpoints to and from their wire form. */
import { create } from '@bufbuild/protobuf';
import { TellBrittleSchema } from '../gen/peer_pb.js';
import type { TellBrittle } from '../gen/peer_pb.js';
import type { BrittleReport } from '../slot-shares/brittle-ledger.js';
import { encodeUint32 } from './encode-uint32.js';

export function encodeBrittle(reports: readonly BrittleReport[]): TellBrittle {
  return create(TellBrittleSchema, {
    endpoints: reports.map(({ endpoint }) => endpoint),
    rejectionsMax: reports.map(({ rejectionsMax }) => encodeUint32(rejectionsMax)),
    agoMs: reports.map(({ agoMs }) => encodeUint32(agoMs)),
  });
}

export function decodeBrittle({ endpoints, rejectionsMax, agoMs }: TellBrittle): BrittleReport[] {
  return endpoints.map((endpoint, index) => ({
    endpoint,
    rejectionsMax: rejectionsMax[index] ?? 0,
    agoMs: agoMs[index] ?? 0,
  }));
}
