import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { EVENT_BYTES_MAX } from './response-limits.js';
import { createEventSplitter } from './event-splitter.js';

describe('event splitter', ({ it }) => {
  // Guards against joining a partial event to the first event of a resumed stream.
  it('returns complete events unchanged, however the stream is divided into chunks', (t) => {
    const stream = Buffer.from(
      'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweights: 3\nid:3\ndata: c\n\n',
    );
    fc.assert(
      fc.property(fc.array(fc.nat(stream.length)), (cuts) => {
        const splitter = createEventSplitter();
        const sorted = [0, ...[...cuts].sort((a, b) => a - b), stream.length];
        const events = sorted.flatMap(
          (cut, index) => splitter.add(stream.subarray(sorted[index - 1] ?? 0, cut)) ?? [],
        );
        const joined = Buffer.concat(events.map(({ bytes }) => bytes));
        return (
          joined.equals(stream) &&
          !splitter.hasPartialEvent() &&
          events.map(({ id }) => id).join() === '1,2,3'
        );
      }),
    );
    t.pass();
  });

  it('does not return a partial event', (t) => {
    const splitter = createEventSplitter();
    t.is(splitter.add(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))?.length, 1);
    t.true(splitter.hasPartialEvent());
  });

  it('rejects an event beyond the size limit', (t) => {
    const splitter = createEventSplitter();
    t.is(splitter.add(Buffer.alloc(EVENT_BYTES_MAX + 1, 'x')), undefined);
  });
});
