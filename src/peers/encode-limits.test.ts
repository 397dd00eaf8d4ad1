import { fromBinary, toBinary } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { PermitRepliesSchema, PermitRequestsSchema, TellLimitsSchema } from '../gen/peer_pb.js';
import { describe } from '../test/describe.js';
import {
  decodeLimits,
  decodePermitReplies,
  decodePermitRequests,
  encodeLimits,
  encodePermitReplies,
  encodePermitRequests,
} from './encode-limits.js';

const KEY = fc.integer({ min: 0, max: 2 ** 32 - 1 });
const MS = fc.integer({ min: 0, max: 100_000 });

describe('messages about rate limits', ({ it }) => {
  // Guards against a limit that arrives as lifted, or the reverse.
  it('carry limits and lifted limits unchanged', (t) => {
    const report = fc.record({
      endpoint: KEY,
      perSecond: fc.option(
        fc.integer({ min: 1, max: 100_000 }).map((milli) => milli / 1000),
        { nil: undefined },
      ),
      ageMs: MS,
    });
    fc.assert(
      fc.property(fc.array(report, { maxLength: 12 }), (reports) => {
        const bytes = toBinary(TellLimitsSchema, encodeLimits(reports));
        t.deepEqual(decodeLimits(fromBinary(TellLimitsSchema, bytes)), reports);
      }),
    );
    t.is(decodeLimits(encodeLimits([{ endpoint: 1, perSecond: 0.0001, ageMs: 0 }])).length, 1);
    t.not(
      decodeLimits(encodeLimits([{ endpoint: 1, perSecond: 0.0001, ageMs: 0 }]))[0]?.perSecond,
      undefined,
    );
  });

  it('carry requests and replies unchanged', (t) => {
    const request = fc.record({
      id: KEY,
      urgency: fc.integer({ min: 0, max: 9 }),
      organisation: KEY,
      waitLeftMs: MS,
      endpoints: fc.array(KEY, { maxLength: 16 }),
    });
    const reply = fc.oneof(
      fc.record({ kind: fc.constant('granted' as const), id: KEY, endpoint: KEY }),
      fc.record({ kind: fc.constant('refused' as const), id: KEY, retryAfterMs: MS }),
    );
    fc.assert(
      fc.property(fc.array(request), fc.array(reply), (requests, replies) => {
        const sent = toBinary(PermitRequestsSchema, encodePermitRequests(requests));
        t.deepEqual(decodePermitRequests(fromBinary(PermitRequestsSchema, sent)), requests);
        const answered = toBinary(PermitRepliesSchema, encodePermitReplies(replies));
        t.deepEqual(decodePermitReplies(fromBinary(PermitRepliesSchema, answered)), replies);
      }),
    );
  });
});
