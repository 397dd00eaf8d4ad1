import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { createSharedRetryBudget } from './shared-retry-budget.js';

const BOUNDS = { windowMs: 10_000, ratio: 0.2, slack: 54 };

describe('shared retry budget', ({ it }) => {
  // A pool fails while every instance repeats its calls: without a common bound the repeats would
  // keep it down.
  it('keeps the tries of all instances within the bounds in any window', (t) => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 9 }),
        fc.array(fc.record({ by: fc.nat(8), afterMs: fc.nat(400) }), { maxLength: 300 }),
        (instances, script) => {
          const budgets = Array.from({ length: instances }, () => createSharedRetryBudget(BOUNDS));
          const calls: number[] = [];
          const tries: number[] = [];
          let nowMs = 0;
          for (const { by, afterMs } of script) {
            nowMs += afterMs;
            const budget = budgets[by % instances];
            budget?.recordCall(nowMs);
            calls.push(nowMs);
            for (let count = 0; count < 4; count += 1) {
              if (budget?.take(instances, nowMs) === true) tries.push(nowMs);
            }
            const since = nowMs - BOUNDS.windowMs;
            const recentCalls = calls.filter((time) => time >= since).length;
            const recentTries = tries.filter((time) => time >= since).length;
            if (recentTries > BOUNDS.ratio * recentCalls + BOUNDS.slack) return false;
          }
          return true;
        },
      ),
    );
    t.pass();
  });

  // A cut hides half of the instances: the part of each must not double.
  it('does not grow when fewer instances are seen', (t) => {
    const budget = createSharedRetryBudget({ ...BOUNDS, ratio: 0 });
    let taken = 0;
    for (let count = 0; count < 50; count += 1) if (budget.take(10, 0)) taken += 1;
    for (let count = 0; count < 50; count += 1) if (budget.take(1, 1)) taken += 1;
    t.is(taken, 4);
  });
});
