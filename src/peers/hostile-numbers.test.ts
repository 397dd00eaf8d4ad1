import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import fc from 'fast-check';
import { DatagramSchema } from '../gen/peer_pb.js';
import type { Datagram } from '../gen/peer_pb.js';
import { LOAD_SCOPE } from '../load-sharing/load-update.js';
import type { EndpointLoadShare } from '../placement/remote-loads.js';
import { describe } from '../test/describe.js';
import { decodeBrittle, encodeBrittle } from './encode-brittle.js';
import { decodeCases, encodeCases } from './encode-cases.js';
import {
  decodeLimits,
  decodePermitReplies,
  decodePermitRequests,
  encodeLimits,
  encodePermitReplies,
  encodePermitRequests,
} from './encode-limits.js';
import { decodeLoadUpdate, encodeLoadUpdate } from './encode-load-update.js';
import { decodeNotices, encodeNotices } from './encode-notices.js';
import { decodeStreamReply, encodeStreamReply } from './encode-streams.js';
import { encodeUint32 } from './encode-uint32.js';
import { decodeUsage, encodeUsage } from './encode-usage.js';

const UINT32_MAX = 2 ** 32 - 1;
const KNOWLEDGE = { configurationRevision: 7, endpointsRevision: 9, confirmedAtMs: 1234 };
const QUIET: EndpointLoadShare = {
  endpoint: 5,
  running: 3,
  urgent: 1,
  preemptible: 1,
  preemptibleUnreadTokens: 1024,
  unreadTokens: 640,
  answers: 2,
  failures: 1,
  readTokens: 512,
  readMs: 40,
  pauses: 3,
  pauseMs: 80,
};
type Measure = Exclude<keyof EndpointLoadShare, 'endpoint'>;
const MEASURES = Object.keys(QUIET).filter((key) => key !== 'endpoint') as Measure[];

const HOSTILE = fc.oneof(
  fc.double(),
  fc.double({ min: 0, max: 2 ** 60 }),
  fc.bigInt({ min: -(2n ** 70n), max: 2n ** 70n }).map(Number),
  fc.constantFrom(NaN, Infinity, -Infinity, -1, 0.5, UINT32_MAX, UINT32_MAX + 1, 1.7964e12),
);

/** Sends a message through its wire form; throws if it cannot be written. */
function sendThrough(body: Datagram['body']): Datagram['body'] {
  const message = create(DatagramSchema, { from: 'a', secret: 's', body });
  return fromBinary(DatagramSchema, toBinary(DatagramSchema, message)).body;
}

function isUint32(value: number): boolean {
  return Number.isInteger(value) && value >= 0 && value <= UINT32_MAX;
}

describe('messages to peers with numbers from outside', ({ it }) => {
  // Guards against a number that ends the process when it is written, or stands for another field.
  it('tell a load whatever one of its measures is, and leave the others as they are', (t) => {
    fc.assert(
      fc.property(fc.constantFrom(...MEASURES), HOSTILE, (measure, value) => {
        const share = { ...QUIET, [measure]: value };
        const update = { scope: LOAD_SCOPE.Own, shares: [share], heardDataCentres: [] };
        const [load] = encodeLoadUpdate(update, 'dc', KNOWLEDGE, { fleetMs: 1, hops: 0 });
        if (load === undefined) return false;
        const body = sendThrough({ case: 'load', value: load });
        const told = body.case === 'load' ? decodeLoadUpdate('a', body.value) : undefined;
        const [received] = told?.shares ?? [];
        if (received === undefined) return false;
        const isBounded = Number.isFinite(received[measure]) && received[measure] >= 0;
        return isBounded && MEASURES.every((m) => m === measure || received[m] === QUIET[m]);
      }),
    );
    t.pass();
  });

  it('are written whatever their times, rates and counts are', (t) => {
    fc.assert(
      fc.property(HOSTILE, HOSTILE, (first, second) => {
        const limits = encodeLimits([{ endpoint: 5, perSecond: first, ageMs: second }]);
        const notices = encodeNotices([{ endpoint: 5, leavingAgoMs: first, restLeftMs: second }]);
        const brittle = encodeBrittle([{ endpoint: 5, rejectionsMax: first, agoMs: second }]);
        const permits = encodePermitRequests([
          { id: 9, urgency: first, organisation: 6, waitLeftMs: second, endpoints: [5] },
        ]);
        const replies = encodePermitReplies([{ kind: 'refused', id: 9, retryAfterMs: first }]);
        const cases = encodeCases([
          {
            content: 'c',
            organisation: 6,
            crashes: [{ start: 5, sentAgoMs: first, crashedAgoMs: second }],
            cleared: [],
            trial: { start: 5, remainingMs: first },
          },
        ]);
        const reply = encodeStreamReply({
          key: '0'.repeat(16),
          answer: 'bound',
          pool: 3,
          version: 4,
          ageMs: first,
          coveredMs: second,
        });
        const [usage] = encodeUsage({
          source: { instance: 'a', incarnation: 1 },
          watermarkMs: first,
          windows: [{ window: second, counts: [{ organisation: 'o', count: first }] }],
        });
        sendThrough({ case: 'limits', value: limits });
        sendThrough({ case: 'notices', value: notices });
        sendThrough({ case: 'brittle', value: brittle });
        sendThrough({ case: 'permitRequests', value: permits });
        sendThrough({ case: 'permitReplies', value: replies });
        sendThrough({ case: 'cases', value: cases });
        sendThrough({ case: 'streamReply', value: reply });
        if (usage !== undefined) sendThrough({ case: 'usage', value: usage });
        return (
          decodeLimits(limits)[0]?.endpoint === 5 &&
          decodeNotices(notices)[0]?.endpoint === 5 &&
          decodeBrittle(brittle)[0]?.endpoint === 5 &&
          decodePermitRequests(permits)[0]?.organisation === 6 &&
          decodePermitReplies(replies)[0]?.id === 9 &&
          decodeCases(cases)[0]?.crashes[0]?.start === 5 &&
          decodeStreamReply(reply).version === 4 &&
          (usage === undefined || decodeUsage('a', usage).windows[0]?.counts.length === 1)
        );
      }),
    );
    t.pass();
  });

  it('hold integers of 32 bits', (t) => {
    fc.assert(fc.property(HOSTILE, (value) => isUint32(encodeUint32(value))));
    t.is(encodeUint32(NaN), 0);
    t.is(encodeUint32(Infinity), UINT32_MAX);
  });
});
