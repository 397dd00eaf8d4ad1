import { describe } from '../test/describe.js';
import { createSystemClock } from './clock.js';
import { createTimerService } from './timer-service.js';

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

describe('timer service', ({ it }) => {
  it('calls everybody of a period until each ends its own subscription', async (t) => {
    const timers = createTimerService(createSystemClock());
    const calls: string[] = [];
    const stopFirst = timers.subscribe(20, () => calls.push('first'));
    timers.subscribe(20, () => calls.push('second'));
    await waitMs(50);
    t.true(calls.includes('first') && calls.includes('second'));
    stopFirst();
    stopFirst();
    calls.length = 0;
    await waitMs(50);
    t.true(calls.length > 0);
    t.false(calls.includes('first'));
    timers.stop();
    calls.length = 0;
    await waitMs(50);
    t.deepEqual(calls, []);
  });

  // A part ends its own subscription while it is called, as one does that has nothing left to do, and
  // takes it up again at the next call: it must not be called by both.
  it('lets a subscription end and begin anew while it is called', async (t) => {
    const timers = createTimerService(createSystemClock());
    let calls = 0;
    const stop = timers.subscribe(20, () => {
      calls += 1;
      stop();
    });
    await waitMs(50);
    t.is(calls, 1);
    timers.subscribe(20, () => {
      calls += 1;
    });
    await waitMs(50);
    t.true(calls >= 2 && calls <= 4);
    timers.stop();
  });

  it('starts a period anew after its last subscription has ended', async (t) => {
    const timers = createTimerService(createSystemClock());
    timers.subscribe(20, () => undefined)();
    let calls = 0;
    timers.subscribe(20, () => {
      calls += 1;
    });
    await waitMs(50);
    t.true(calls >= 1);
    timers.stop();
  });
});
