import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { EVENT_BYTES_MAX } from './response-limits.js';
import { createEventSplitter, getBytes } from './event-splitter.js';

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
        const joined = Buffer.concat(events.map((event) => getBytes(event)));
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

  // Guards against going on after another event than the one that callers would name.
  it('reads the id and the data of an event as readers of events do', (t) => {
    const read = (text: string) => {
      const [event] = createEventSplitter().add(Buffer.from(text)) ?? [];
      return [event?.id, event?.hasData];
    };
    t.deepEqual(read('id: 4\ndata: a\n\n'), ['4', true]);
    t.deepEqual(read('id:4\r\ndata\r\n\r\n'), ['4', true]);
    t.deepEqual(read('data: a\nid: 4\nid: 5\n\n'), ['5', true]);
    t.deepEqual(read('id:  4\n\n'), [' 4', false]);
    t.deepEqual(read('id\ndata: a\n\n'), ['', true]);
    t.deepEqual(read('\uFEFFid: 4\ndata: a\n\n'), ['4', true]);
    t.deepEqual(read('\uFEFFdata: a\n\n'), [undefined, true]);
    t.deepEqual(read(': id: 4\ndata: id: 5\n\n'), [undefined, true]);
    t.deepEqual(read('idea: 4\ndatabase: a\nretry: 5\n\n'), [undefined, false]);
    t.deepEqual(read(': waits\n\n'), [undefined, false]);
  });

  it('rejects an event beyond the size limit', (t) => {
    const splitter = createEventSplitter();
    t.is(splitter.add(Buffer.alloc(EVENT_BYTES_MAX + 1, 'x')), undefined);
  });
});
