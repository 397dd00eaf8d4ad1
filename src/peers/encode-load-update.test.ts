import { fromBinary, toBinary } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { TellLoadSchema } from '../gen/peer_pb.js';
import { LOAD_SCOPE } from '../load-sharing/load-update.js';
import type { LoadUpdate } from '../load-sharing/load-update.js';
import type { EndpointLoadShare } from '../placement/remote-loads.js';
import { describe } from '../test/describe.js';
import { decodeLoadUpdate, encodeLoadUpdate } from './encode-load-update.js';
import { NEVER_CONFIRMED_MS } from './peer-links.js';
import type { KnowledgeSummary } from './peer-links.js';

const KNOWLEDGE: KnowledgeSummary = {
  configurationRevision: 7,
  endpointsRevision: 9,
  confirmedAtMs: 1234.5,
};
/** Size of an Ethernet frame less the headers and the envelope. */
const DATAGRAM_BYTES_MAX = 1400;

const TIME = { fleetMs: 1_700_000_000_001, hops: 2 };
/** Quantities are multiples of their wire units, so that encoding is lossless. */
const SHARE: fc.Arbitrary<EndpointLoadShare> = fc.record({
  endpoint: fc.integer({ min: 0, max: 2 ** 32 - 1 }),
  running: fc.nat(120),
  urgent: fc.nat(60),
  preemptible: fc.nat(60),
  preemptibleUnreadTokens: fc.nat(200).map((units) => units * 1024),
  unreadTokens: fc.nat(2000).map((units) => units * 64),
  answers: fc.nat(800).map((units) => units / 8),
  failures: fc.nat(100).map((units) => units / 8),
  readTokens: fc.nat(5000).map((units) => units * 256),
  readMs: fc.nat(5000).map((units) => units * 4),
  pauses: fc.nat(5000).map((units) => units / 8),
  pauseMs: fc.nat(15_000).map((units) => units * 4),
});

function encodeAndDecode(update: LoadUpdate, knowledge = KNOWLEDGE) {
  return encodeLoadUpdate(update, 'dc', knowledge, TIME).map((load) => {
    const bytes = toBinary(TellLoadSchema, load);
    const status = decodeLoadUpdate('i', fromBinary(TellLoadSchema, bytes));
    if (status === undefined) throw new TypeError('load update with an unknown scope');
    return { bytes, status };
  });
}

describe('load updates', ({ it }) => {
  it('are decoded as they were encoded, each endpoint in one part', (t) => {
    const shares = fc.uniqueArray(SHARE, { maxLength: 400, selector: ({ endpoint }) => endpoint });
    fc.assert(
      fc.property(shares, (sent) => {
        const parts = encodeAndDecode({
          scope: LOAD_SCOPE.Others,
          shares: sent,
          heardDataCentres: ['a', 'b'],
        });
        const received = parts.flatMap(({ status }) => status.shares);
        const compare = (a: EndpointLoadShare, b: EndpointLoadShare): number =>
          a.endpoint - b.endpoint;
        t.deepEqual([...received].sort(compare), [...sent].sort(compare));
        t.deepEqual(
          parts.map(({ status }) => status.part),
          parts.map((_, index) => index),
        );
      }),
    );
  });

  it('include the knowledge summary of the sender', (t) => {
    const [part] = encodeAndDecode({ scope: LOAD_SCOPE.Own, shares: [], heardDataCentres: [] });
    t.deepEqual(part?.status.knowledge, KNOWLEDGE);
    t.is(part?.status.scope, LOAD_SCOPE.Own);
  });

  // Guards against a table that was never confirmed, taken for that of a release that does not say.
  it('tell a table of endpoints that was never confirmed from one that nobody speaks of', (t) => {
    const update = { scope: LOAD_SCOPE.Own, shares: [], heardDataCentres: [] };
    for (const endpointsConfirmedAtMs of [NEVER_CONFIRMED_MS, 1234.25]) {
      const knowledge = { ...KNOWLEDGE, endpointsConfirmedAtMs };
      t.deepEqual(encodeAndDecode(update, knowledge)[0]?.status.knowledge, knowledge);
    }
    t.false('endpointsConfirmedAtMs' in (encodeAndDecode(update)[0]?.status.knowledge ?? {}));
  });

  // Guards against IP fragmentation: a fragmented datagram is lost if any of its fragments is.
  it('fit one Ethernet frame per datagram with many busy endpoints', (t) => {
    const shares = Array.from({ length: 180 }, (_, index) => ({
      endpoint: index * 23_000_000,
      running: 20,
      urgent: 4,
      preemptible: 6,
      preemptibleUnreadTokens: 20_000,
      unreadTokens: 30_000,
      answers: 10,
      failures: 0,
      readTokens: 100_000,
      readMs: 900,
      pauses: 150,
      pauseMs: 6000,
    }));
    const update = { scope: LOAD_SCOPE.Others, shares, heardDataCentres: ['a', 'b', 'c'] };
    const parts = encodeAndDecode(update, { ...KNOWLEDGE, endpointsConfirmedAtMs: 1234.25 });
    t.is(parts.length, 3);
    for (const { bytes } of parts) {
      t.true(bytes.length <= DATAGRAM_BYTES_MAX, `${bytes.length} bytes`);
    }
  });
});
