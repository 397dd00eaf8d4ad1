import { describe } from '../test/describe.js';
import { computeDrainTimes, createDrain } from './drain.js';

const GRACE_MS = 8000;
const NOTICE_MS = 2800;
const TIMES = computeDrainTimes(GRACE_MS, NOTICE_MS);
const TICK_MS = 100;

describe('graceful shutdown', ({ it }) => {
  // Guards against accepting requests on open connections that are then cut off by the exit.
  it('accepts requests until the balancer has deregistered the instance, and none after', (t) => {
    const drain = createDrain(TIMES);
    drain.handle({ kind: 'configured' }, 0);
    drain.handle({ kind: 'leave' }, 1000);
    drain.handle({ kind: 'tick', inFlight: 1 }, 1000 + NOTICE_MS - 1);
    t.true(drain.isAccepting());
    t.deepEqual(drain.handle({ kind: 'tick', inFlight: 1 }, 1000 + NOTICE_MS), ['stop_accepting']);
    t.false(drain.isAccepting());
    drain.handle({ kind: 'tick', inFlight: 0 }, 5000);
    t.false(drain.isAccepting());
  });

  // Guards against work that the end of the process cuts off without an answer.
  it('ends work that is left before the process is killed, and waits for its answers', (t) => {
    const drain = createDrain(TIMES);
    drain.handle({ kind: 'leave' }, 0);
    drain.handle({ kind: 'tick', inFlight: 1 }, NOTICE_MS);
    t.deepEqual(drain.handle({ kind: 'tick', inFlight: 1 }, TIMES.endWorkMs - 1), []);
    t.deepEqual(drain.handle({ kind: 'tick', inFlight: 1 }, TIMES.endWorkMs), ['end_work']);
    t.deepEqual(drain.handle({ kind: 'tick', inFlight: 1 }, TIMES.endWorkMs + TICK_MS), []);
    t.deepEqual(drain.handle({ kind: 'tick', inFlight: 1 }, TIMES.stopMs), [
      'announce_left',
      'stop',
    ]);
  });

  // Guards against a drain that is still accepting requests when the process is killed.
  it('keeps to any grace period', (t) => {
    for (const graceMs of [400, 1000, 3000, 8000, 600_000]) {
      const { noticeMs, endWorkMs, stopMs } = computeDrainTimes(graceMs, NOTICE_MS);
      t.true(noticeMs <= endWorkMs / 2, `${graceMs}: accepts for ${noticeMs} ms`);
      t.true(endWorkMs < stopMs && stopMs < graceMs, `${graceMs}: stops after ${stopMs} ms`);
    }
  });

  // Guards against a second signal that restarts the drain.
  it('keeps its end if it is told to leave again', (t) => {
    const drain = createDrain(TIMES);
    t.is(drain.computeLeftMs(0), Infinity);
    drain.handle({ kind: 'leave' }, 0);
    t.deepEqual(drain.handle({ kind: 'leave' }, 1000), []);
    drain.handle({ kind: 'configured' }, 1500);
    t.is(drain.computeLeftMs(2000), TIMES.endWorkMs - 2000);
  });
});
