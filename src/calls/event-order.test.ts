import { describe } from '../test/describe.js';
import { createEventOrder } from './event-order.js';

/** Number of events that are in order before the first that is not. */
function countInOrder(
  lastEventId: string | undefined,
  ids: readonly (string | undefined)[],
): number {
  const order = createEventOrder(lastEventId);
  const firstOut = ids.findIndex((id) => !order.record(id));
  return firstOut === -1 ? ids.length : firstOut;
}

describe('event order', ({ it }) => {
  // Guards against an endpoint that begins a stream anew, or repeats its last event, where it should go on.
  it('goes on after the last event only', (t) => {
    t.is(countInOrder('4', ['5', '6']), 2);
    t.is(countInOrder('4', ['4', '5']), 0);
    t.is(countInOrder('4', ['1', '2']), 0);
    t.is(countInOrder('4', [undefined, '4']), 1);
  });

  // Guards against an endpoint that repeats events within its own answer.
  it('goes up within an answer', (t) => {
    t.is(countInOrder(undefined, ['1', '2', '2']), 2);
    t.is(countInOrder(undefined, ['3', '2']), 1);
  });

  // Guards against breaking off a sound stream whose events hold several tokens.
  it('may jump', (t) => {
    t.is(countInOrder(undefined, ['0', '3', '40']), 3);
    t.is(countInOrder('40', ['44']), 1);
  });

  // Guards against comparing as text, or beyond what a number holds exactly.
  it('compares numbers of any length', (t) => {
    t.is(countInOrder('9', ['10', '100']), 2);
    t.is(countInOrder('9007199254740993', ['9007199254740992']), 0);
    t.is(countInOrder('9007199254740992', ['9007199254740993']), 1);
    t.is(countInOrder('007', ['8', '08']), 1);
  });

  // Guards against breaking off streams whose ids have no order.
  it('leaves ids that are no numbers alone, but for a repeated last event', (t) => {
    t.is(countInOrder(undefined, ['run', 'run', 'run']), 3);
    t.is(countInOrder('b', ['a', 'c']), 2);
    t.is(countInOrder('b', ['b']), 0);
    t.is(countInOrder('-1', ['0', 'x', '0']), 3);
  });
});
