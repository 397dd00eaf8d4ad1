import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import { describe } from '../test/describe.js';
import { checkLoop } from './loop-watch.js';
import type { LoopStall } from './loop-watch.js';

describe('watch of the event loop', ({ it }) => {
  // Guards against calls that are late with no line that says that their instance stood still.
  it('tells of a loop that stood still, and of no other', async (t) => {
    const time = createVirtualTime();
    const timers = time.createTimers(createActor('a'), 0);
    const stalls: LoopStall[] = [];
    let lateMs = 0;
    const clock = { ...timers.clock, monotonicMs: () => timers.clock.monotonicMs() + lateMs };
    checkLoop({
      timers: { ...timers, clock },
      getCpuMs: () => 7,
      onStalled: (stall) => stalls.push(stall),
    });
    await time.runUntil(2050);
    t.deepEqual(stalls, []);
    lateMs = 300;
    await time.runUntil(4050);
    t.is(stalls.length, 1);
    t.is(stalls[0]?.longestMs, 300);
    t.is(stalls[0]?.totalMs, 300);
    timers.stop();
  });
});
