import { describe } from '../test/describe.js';
import { createRestQueue, listInTurn } from './rest-queue.js';
import type { RestingCall } from './rest-queue.js';

function buildCall(callId: string, organisation: string, urgency = 5): RestingCall {
  return { callId, pool: 'engines', organisation, urgency, receivedMs: Number(callId.slice(1)) };
}

describe('rest queue', ({ it }) => {
  // Guards against one organisation that takes all places of a resting pool.
  it('puts the most urgent first and lets organisations take turns', (t) => {
    const calls = [
      buildCall('c1', 'large'),
      buildCall('c2', 'large'),
      buildCall('c3', 'large'),
      buildCall('c4', 'small'),
      buildCall('c5', 'small', 0),
    ];
    t.deepEqual(
      listInTurn(calls).map(({ callId }) => callId),
      ['c5', 'c1', 'c4', 'c2', 'c3'],
    );
  });

  it('turns away what is beyond the room, and a less urgent call for a more urgent one', (t) => {
    const queue = createRestQueue();
    t.true(queue.add(buildCall('c1', 'a'), 2, 0));
    t.true(queue.add(buildCall('c2', 'a'), 2, 0));
    t.false(queue.add(buildCall('c3', 'a'), 2, 0));
    t.true(queue.add(buildCall('c4', 'a', 0), 2, 0));
    t.false(queue.add(buildCall('c2', 'a'), 2, 25));
    t.true(queue.add(buildCall('c1', 'a'), 2, 25));
  });

  // Guards against places that stay taken by calls whose callers have left.
  it('forgets calls that are no longer offered', (t) => {
    const queue = createRestQueue();
    t.true(queue.add(buildCall('c1', 'a'), 1, 0));
    t.false(queue.add(buildCall('c2', 'a'), 1, 100));
    t.true(queue.add(buildCall('c3', 'a'), 1, 400));
  });
});
