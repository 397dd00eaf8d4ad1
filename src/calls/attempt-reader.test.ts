import { describe } from '../test/describe.js';
import { createAttemptReader } from './attempt-reader.js';
import type { DecodedHead } from './attempt-reader.js';
import type { AttemptEnd } from './call-messages.js';

const HEAD: DecodedHead = {
  callId: 'mine',
  isUnrun: false,
  isWrongEndpoint: false,
  isSigned: true,
  isEventStream: false,
  headers: [],
};

function createHarness(isStreamExpected = false) {
  const ends: AttemptEnd[] = [];
  const events: string[] = [];
  const reader = createAttemptReader('mine', isStreamExpected, {
    onStreamStarted: () => events.push('head'),
    onEvent: ({ bytes }) => events.push(bytes.toString()),
    onEnded: (end) => ends.push(end),
  });
  return { reader, ends, events };
}

describe('attempt reader', ({ it }) => {
  // Guards against delivering a late response to an earlier call of the same connection.
  it('takes an answer to another call for none', (t) => {
    const { reader, ends } = createHarness();
    t.false(reader.readHead(200, { ...HEAD, callId: 'theirs' }));
    t.is(ends[0]?.kind, 'broken');
  });

  it('takes a success without the endpoint’s mark or without an id for none', (t) => {
    for (const head of [
      { ...HEAD, isSigned: false },
      { ...HEAD, callId: undefined },
    ]) {
      const { reader, ends } = createHarness();
      t.false(reader.readHead(200, head));
      t.is(ends[0]?.kind, 'broken');
    }
  });

  it('takes a refusal for proof even if its body breaks off', (t) => {
    const { reader, ends } = createHarness();
    t.true(reader.readHead(503, { ...HEAD, isUnrun: true, isSigned: false }));
    reader.readError(true, 'reset');
    t.deepEqual(ends, [{ kind: 'rejected', isWrongEndpoint: false }]);
  });

  it('gives a plain answer only when it is whole', (t) => {
    const { reader, ends } = createHarness();
    reader.readHead(200, HEAD);
    reader.readData(Buffer.from('half'));
    reader.readError(true, 'reset');
    t.is(ends[0]?.kind, 'broken');
  });

  // The connection is closed with a FIN in the middle of an event.
  it('takes a stream that ends in the middle of an event for broken', (t) => {
    const { reader, ends, events } = createHarness(true);
    reader.readHead(200, { ...HEAD, isEventStream: true });
    reader.readData(Buffer.from('id: 1\n\nid: 2'));
    reader.readEnd();
    t.deepEqual(events, ['head', 'id: 1\n\n']);
    t.is(ends[0]?.kind, 'broken');
  });
});
