import { describe } from '../test/describe.js';
import { createSystemClock } from './clock.js';
import { createTimerService } from './timer-service.js';

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

describe('timer service', ({ it }) => {
  it('calls all subscribers of a period until each unsubscribes', async (t) => {
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

  // Guards against two subscriptions at once after a handler unsubscribes itself and subscribes again.
  it('allows a handler to unsubscribe itself and subscribe again', async (t) => {
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

  it('restarts a period after its last subscriber has left', async (t) => {
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
