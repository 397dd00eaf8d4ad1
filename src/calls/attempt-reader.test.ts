import { describe } from '../test/describe.js';
import { openAnswer } from '../test/open-answer.js';
import { NOT_BRITTLE } from '../slot-shares/brittle-reading.js';
import { NO_NOTICE } from '../endpoint-availability/availability-notice.js';
import { createAttemptReader } from './attempt-reader.js';
import type { AttemptListener, DecodedHead } from './attempt-reader.js';
import type { AttemptEnd } from './call-messages.js';

const HEAD: DecodedHead = {
  callId: 'mine',
  isNotRun: false,
  isWrongEndpoint: false,
  isSigned: true,
  isEventStream: false,
  rateLimit: { kind: 'none' },
  notice: NO_NOTICE,
  brittle: NOT_BRITTLE,
  headers: [],
};

/** What a connection is read into at once. */
const READ_BYTES = 64 * 1024;
const SMALL_PIECES = 4000;

function createHarness(isStream = false, lastEventId: string | undefined = undefined) {
  const ends: AttemptEnd[] = [];
  const events: string[] = [];
  const expected = { callId: 'mine', isStream, lastEventId };
  const listener: AttemptListener = {
    onRateLimit: ({ kind }) => {
      if (kind !== 'none') events.push(kind);
    },
    onBrittle: () => undefined,
    onNotice({ isLeaving }) {
      if (isLeaving) events.push('leaving');
    },
    onStreamStarted: () => events.push('head'),
    onEvent: ({ bytes }) => events.push(bytes.toString()),
    onEnded: (end) => ends.push(end),
  };
  const reader = createAttemptReader(expected, listener, openAnswer());
  return { reader, ends, events };
}

describe('attempt reader', ({ it }) => {
  // Guards against pieces of which each keeps the buffer alive that its connection was read into.
  it('keeps no more memory than a body has bytes, however small its pieces', (t) => {
    const { reader, ends } = createHarness();
    reader.readHead(200, HEAD);
    const before = process.memoryUsage().arrayBuffers;
    for (let index = 0; index < SMALL_PIECES; index += 1)
      reader.readData(Buffer.allocUnsafeSlow(READ_BYTES).subarray(0, 1).fill('x'));
    const growth = process.memoryUsage().arrayBuffers - before;
    t.true(growth < (SMALL_PIECES * READ_BYTES) / 2, `${growth} bytes more`);
    reader.readEnd();
    t.like(ends[0], { kind: 'answered', body: Buffer.alloc(SMALL_PIECES, 'x') });
  });

  // Guards against an odd status that a peer of an older release passes on, and against a promise in its headers.
  it('rejects a response with a status that is none', (t) => {
    for (const isNotRun of [false, true]) {
      const { reader, ends } = createHarness();
      t.false(reader.readHead(600, { ...HEAD, isNotRun }));
      t.like(ends[0], { kind: 'broken' });
    }
  });

  // Guards against delivering a late response to an earlier call of the same connection.
  it('rejects a response to another call', (t) => {
    const { reader, ends } = createHarness();
    t.false(reader.readHead(200, { ...HEAD, callId: 'theirs' }));
    t.is(ends[0]?.kind, 'broken');
  });

  it('rejects a success without the signature header or without a call id', (t) => {
    for (const head of [
      { ...HEAD, isSigned: false },
      { ...HEAD, callId: undefined },
    ]) {
      const { reader, ends } = createHarness();
      t.false(reader.readHead(200, head));
      t.is(ends[0]?.kind, 'broken');
    }
  });

  it('reports a rejection even if its body is truncated', (t) => {
    const { reader, ends } = createHarness();
    t.true(reader.readHead(503, { ...HEAD, isNotRun: true, isSigned: false }));
    reader.readError(true, 'reset');
    t.deepEqual(ends, [{ kind: 'rejected', reason: 'full' }]);
  });

  it('tells why the endpoint rejected the call', (t) => {
    const rest = { kind: 'rest', restMs: 3000 } as const;
    const notice = { ...NO_NOTICE, rest };
    const heads: readonly [Partial<DecodedHead>, string][] = [
      [{ isNotRun: true }, 'full'],
      [{ isNotRun: true, notice }, 'resting'],
      [{ isWrongEndpoint: true, notice }, 'wrong_endpoint'],
    ];
    for (const [head, reason] of heads) {
      const { reader, ends } = createHarness();
      reader.readHead(503, { ...HEAD, ...head });
      reader.readEnd();
      t.deepEqual(ends as readonly object[], [{ kind: 'rejected', reason }]);
    }
  });

  it('reports a plain response only if it is complete', (t) => {
    const { reader, ends } = createHarness();
    reader.readHead(200, HEAD);
    reader.readData(Buffer.from('half'));
    reader.readError(true, 'reset');
    t.is(ends[0]?.kind, 'broken');
  });

  // The connection is closed with a FIN in the middle of an event.
  it('reports a stream that ends within an event as broken', (t) => {
    const { reader, ends, events } = createHarness(true);
    reader.readHead(200, { ...HEAD, isEventStream: true });
    reader.readData(Buffer.from('id: 1\n\nid: 2'));
    reader.readEnd();
    t.deepEqual(events, ['head', 'id: 1\n\n']);
    t.is(ends[0]?.kind, 'broken');
  });

  // Guards against a whole stream that is taken for one that was cut within an event.
  it('delivers blank lines after the last event of a stream', (t) => {
    for (const blank of ['\n', '\r\n', '\n\n\n']) {
      const { reader, ends, events } = createHarness(true);
      reader.readHead(200, { ...HEAD, isEventStream: true });
      reader.readData(Buffer.from(`id: 1\n\n${blank}`));
      reader.readEnd();
      t.is(events.join(''), `headid: 1\n\n${blank}`);
      t.deepEqual(ends, [{ kind: 'stream_ended' }]);
    }
  });

  // Guards against a stream of two runs, or one whose events come twice, that looks whole.
  it('delivers no event that came before and reports the stream as broken', (t) => {
    const { reader, ends, events } = createHarness(true, '2');
    reader.readHead(200, { ...HEAD, isEventStream: true });
    t.false(reader.readData(Buffer.from('id: 3\n\nid: 3\n\nid: 4\n\n')));
    t.deepEqual(events, ['head', 'id: 3\n\n']);
    t.is(ends[0]?.kind, 'broken');
    t.false(reader.readData(Buffer.from('id: 5\n\n')));
    reader.readEnd();
    t.is(ends.length, 1);
  });

  // Guards against missing a limit that only a rejection, a failure or the head of a long stream names.
  it('reports the rate limit of every response of the endpoint itself', (t) => {
    const rateLimit = { kind: 'limited', perSecond: 2 } as const;
    const heads: readonly [number, Partial<DecodedHead>][] = [
      [200, {}],
      [500, {}],
      [503, { isNotRun: true, callId: undefined }],
      [200, { isEventStream: true }],
    ];
    for (const [status, head] of heads) {
      const { reader, events } = createHarness(true);
      reader.readHead(status, { ...HEAD, ...head, rateLimit });
      t.true(events.includes('limited'), `status ${status}`);
    }
    const { reader, events } = createHarness();
    reader.readHead(421, { ...HEAD, isWrongEndpoint: true, rateLimit });
    t.deepEqual(events, []);
  });

  // Guards against a notice that is read at the end of a stream only, or taken from another endpoint.
  it('reports the notice of every response of the endpoint itself, at its head', (t) => {
    const notice = { ...NO_NOTICE, isLeaving: true };
    const heads: readonly [number, Partial<DecodedHead>, boolean][] = [
      [200, {}, true],
      [500, {}, true],
      [503, { isNotRun: true, callId: undefined }, true],
      [200, { isEventStream: true }, true],
      [421, { isWrongEndpoint: true }, false],
      [200, { callId: 'theirs' }, false],
    ];
    for (const [status, head, isExpected] of heads) {
      const { reader, events } = createHarness(true);
      reader.readHead(status, { ...HEAD, ...head, notice });
      t.is(events.includes('leaving'), isExpected, `status ${status}`);
    }
  });
});
