import { fromBinary, toBinary } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { TellNoticesSchema } from '../gen/peer_pb.js';
import { describe } from '../test/describe.js';
import { decodeNotices, encodeNotices } from './encode-notices.js';

const KEY = fc.integer({ min: 0, max: 2 ** 32 - 1 });
const MS = fc.integer({ min: 0, max: 600_000 });

describe('messages about endpoints that are leaving or want rest', ({ it }) => {
  // Guards against an endpoint that arrives as leaving although only its rest was told, or the reverse.
  it('carry both unchanged', (t) => {
    const report = fc.record({
      endpoint: KEY,
      leavingAgoMs: fc.option(MS, { nil: undefined }),
      restLeftMs: MS,
    });
    fc.assert(
      fc.property(fc.array(report, { maxLength: 12 }), (reports) => {
        const bytes = toBinary(TellNoticesSchema, encodeNotices(reports));
        t.deepEqual(decodeNotices(fromBinary(TellNoticesSchema, bytes)), reports);
      }),
    );
  });

  it('take 13 bytes for an endpoint that is leaving', (t) => {
    const reports = [{ endpoint: 2 ** 31, leavingAgoMs: 400, restLeftMs: 0 }];
    t.is(toBinary(TellNoticesSchema, encodeNotices(reports)).length, 13);
  });
});
