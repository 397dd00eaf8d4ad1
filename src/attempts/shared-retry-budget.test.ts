import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { createSharedRetryBudget } from './shared-retry-budget.js';

const BOUNDS = { windowMs: 10_000, ratio: 0.2, slack: 54 };
/** Time in which a new instance discovers the others. */
const DISCOVERY_MS = 1000;

describe('shared retry budget', ({ it }) => {
  // Guards against retries of all instances that keep a failing pool overloaded.
  it('keeps the retries of all instances within the bounds in any window', (t) => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 9 }),
        fc.array(fc.record({ instance: fc.nat(8), afterMs: fc.nat(400) }), { maxLength: 300 }),
        (instances, script) => {
          const budgets = Array.from({ length: instances }, () =>
            createSharedRetryBudget(BOUNDS, -BOUNDS.windowMs),
          );
          const calls: number[] = [];
          const retries: number[] = [];
          let nowMs = 0;
          for (const { instance, afterMs } of script) {
            nowMs += afterMs;
            const budget = budgets[instance % instances];
            budget?.recordCall(nowMs);
            calls.push(nowMs);
            for (let count = 0; count < 4; count += 1) {
              if (budget?.take(instances, nowMs) === true) retries.push(nowMs);
            }
            const since = nowMs - BOUNDS.windowMs;
            const recentCalls = calls.filter((time) => time >= since).length;
            const recentRetries = retries.filter((time) => time >= since).length;
            if (recentRetries > BOUNDS.ratio * recentCalls + BOUNDS.slack) return false;
          }
          return true;
        },
      ),
    );
    t.pass();
  });

  // Guards against larger shares while a network partition hides instances.
  it('does not grow when fewer instances are known', (t) => {
    const budget = createSharedRetryBudget({ ...BOUNDS, ratio: 0 }, -BOUNDS.windowMs);
    let taken = 0;
    for (let count = 0; count < 50; count += 1) if (budget.take(10, 0)) taken += 1;
    for (let count = 0; count < 50; count += 1) if (budget.take(1, 1)) taken += 1;
    t.is(taken, 4);
  });

  // Guards against restarted instances that each spend the whole slack before they discover the others.
  it('keeps the retries within the bounds when instances restart', (t) => {
    const step = fc.record({
      instance: fc.nat(8),
      afterMs: fc.nat(400),
      isKilled: fc.boolean(),
      retryCount: fc.nat(60),
    });
    fc.assert(
      fc.property(
        fc.integer({ min: 2, max: 9 }),
        fc.array(step, { maxLength: 100 }),
        (instances, script) => {
          const starts = Array.from({ length: instances }, () => -BOUNDS.windowMs);
          const budgets = starts.map((startedMs) => createSharedRetryBudget(BOUNDS, startedMs));
          const calls: number[] = [];
          const retries: number[] = [];
          let nowMs = 0;
          for (const { instance, afterMs, isKilled, retryCount: retriesWanted } of script) {
            nowMs += afterMs;
            const index = instance % instances;
            if (isKilled) {
              starts[index] = nowMs;
              budgets[index] = createSharedRetryBudget(BOUNDS, nowMs);
            }
            const isAlone = nowMs - (starts[index] ?? 0) < DISCOVERY_MS;
            budgets[index]?.recordCall(nowMs);
            calls.push(nowMs);
            for (let count = 0; count < retriesWanted; count += 1) {
              if (budgets[index]?.take(isAlone ? 1 : instances, nowMs) === true)
                retries.push(nowMs);
            }
            const since = nowMs - BOUNDS.windowMs;
            const recentCalls = calls.filter((time) => time >= since).length;
            const recentRetries = retries.filter((time) => time >= since).length;
            if (recentRetries > BOUNDS.ratio * recentCalls + BOUNDS.slack) return false;
          }
          return true;
        },
      ),
    );
    t.pass();
  });
});
