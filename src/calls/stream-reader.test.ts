import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { IDLE_BYTES_MAX, IDLE_EVENTS_MAX } from './response-limits.js';
import { createStreamReader } from './stream-reader.js';
import type { JoinedEvents } from './stream-reader.js';

const EVENT = fc.constantFrom(
  'id: 0\ndata: a\n\n',
  'id:1\ndata: b\n\n',
  'id\ndata: c\n\n',
  'data: d\r\n\r\n',
  ': comment\n\n',
  '\n\n',
);

/** Where a stream goes on after these, as the call state machine keeps it. */
function computePlace(events: readonly Pick<JoinedEvents, 'id' | 'hasData'>[]): object {
  let lastEventId: string | undefined;
  let isPlaceLost = false;
  for (const { id, hasData } of events) {
    if (id !== undefined) isPlaceLost = id === '';
    else if (hasData) isPlaceLost = true;
    if (id !== undefined && id !== '') lastEventId = id;
  }
  return { lastEventId, isPlaceLost };
}

function readAll(pieces: readonly Buffer[]): JoinedEvents[] {
  const reader = createStreamReader(undefined);
  return pieces.flatMap((piece) => [...reader.add(piece).joined]);
}

describe('a reader of streams', ({ describe: block, it }) => {
  // Guards against joined events that change the bytes, or the place after which a stream goes on.
  it('delivers the same bytes and the same place, however the stream is cut', (t) => {
    fc.assert(
      fc.property(fc.array(EVENT), fc.array(fc.nat(300)), (texts, cuts) => {
        const numbered = texts.map((text, index) => text.replace(/(id:? ?)[01]/, `$1${index + 1}`));
        const stream = Buffer.from(numbered.join(''));
        const sorted = [0, ...[...cuts].sort((a, b) => a - b), stream.length];
        const cut = sorted.map((at, index) => stream.subarray(sorted[index - 1] ?? 0, at));
        const apart = readAll(numbered.map((text) => Buffer.from(text)));
        const joined = readAll(cut);
        const count = joined.reduce((sum, { events }) => sum + events, 0);
        t.deepEqual(computePlace(joined), computePlace(apart));
        t.is(count, apart.length);
        return Buffer.concat(joined.map(({ bytes }) => bytes)).equals(stream);
      }),
    );
  });

  // Guards against an object for each of many small events.
  it('joins the events of one piece', (t) => {
    const { joined } = createStreamReader(undefined).add(Buffer.from('data: x\n\n'.repeat(5000)));
    t.deepEqual(
      joined.map(({ events }) => events),
      [5000],
    );
  });

  // Guards against a repeated event that is delivered with those it came with.
  it('delivers what comes before an event that is out of order', (t) => {
    const { joined, fault } = createStreamReader('6').add(
      Buffer.from('id: 7\ndata: a\n\nid: 7\ndata: b\n\n'),
    );
    t.is(joined[0]?.bytes.toString(), 'id: 7\ndata: a\n\n');
    t.is(fault, 'event 7 comes again or too late');
  });

  block('of what is no event', ({ it: test }) => {
    // Guards against comments without end, which keep an instance busy for nobody.
    test('takes a bounded number between two events with data', (t) => {
      const reader = createStreamReader(undefined);
      const comments = Buffer.from(': hi\n\n'.repeat(IDLE_EVENTS_MAX));
      t.is(reader.add(comments).fault, undefined);
      t.is(reader.add(Buffer.from('data: x\n\n')).fault, undefined);
      t.is(reader.add(comments).fault, undefined);
      t.is(reader.add(Buffer.from('\n\n')).fault, 'too many comments without an event');
    });

    // Guards against fewer, but larger comments.
    test('takes a bounded size', (t) => {
      const reader = createStreamReader(undefined);
      const comment = Buffer.from(`: ${'x'.repeat(60_000)}\n\n`);
      const count = Math.ceil(IDLE_BYTES_MAX / comment.length);
      const faults = Array.from({ length: count }, () => reader.add(comment).fault);
      t.deepEqual(
        faults.map((fault) => fault === undefined),
        faults.map((_, index) => index < count - 1),
      );
    });
  });
});
