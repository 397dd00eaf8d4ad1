import { describe } from '../test/describe.js';
import { createSystemClock } from './clock.js';
import { createTimerService } from './timer-service.js';

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

describe('timer service', ({ it, itSerial }) => {
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

  it('calls subscribers of a shared timer at their own periods', async (t) => {
    const timers = createTimerService(createSystemClock());
    let fastCalls = 0;
    let slowCalls = 0;
    timers.subscribe(300, () => {
      slowCalls += 1;
    });
    timers.subscribe(100, () => {
      fastCalls += 1;
    });
    await waitMs(1250);
    timers.stop();
    t.true(slowCalls === 3 || slowCalls === 4, `${slowCalls} calls`);
    t.true(fastCalls >= 10 && fastCalls <= 13, `${fastCalls} calls`);
  });

  // Guards against a process that wakes for each of its periods.
  itSerial('uses one system timer for periods that are multiples of 100 ms', (t) => {
    const { setInterval: original } = globalThis;
    const periods: unknown[] = [];
    t.teardown(() => {
      globalThis.setInterval = original;
    });
    globalThis.setInterval = ((handler: () => void, periodMs: number) => {
      periods.push(periodMs);
      return original(handler, periodMs);
    }) as typeof setInterval;
    const timers = createTimerService(createSystemClock());
    [100, 200, 300, 1000, 25].forEach((periodMs) => timers.subscribe(periodMs, () => undefined));
    timers.stop();
    t.deepEqual(periods, [100, 25]);
  });

  // Guards against an error of one task that ends the process or keeps the other tasks from running.
  it('reports what a task throws and runs the others', async (t) => {
    const errors: unknown[] = [];
    const timers = createTimerService(createSystemClock(), (error) => errors.push(error));
    let calls = 0;
    const runFailingTask = (): never => {
      throw new Error('out of range');
    };
    timers.subscribe(100, runFailingTask);
    timers.subscribe(100, () => {
      calls += 1;
    });
    timers.subscribeOnce(10, runFailingTask);
    await waitMs(350);
    timers.stop();
    t.true(calls >= 2, `${calls} calls`);
    t.true(errors.length >= 3, `${errors.length} errors`);
  });

  // Guards against a delay beyond the range of system timers, which would end at once.
  it('does not end a very long delay at once', async (t) => {
    const timers = createTimerService(createSystemClock());
    let isOver = false;
    timers.subscribeOnce(2 ** 40, () => {
      isOver = true;
    });
    await waitMs(30);
    timers.stop();
    t.false(isOver);
  });
});
