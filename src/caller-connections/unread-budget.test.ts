import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { createUnreadBudget } from './unread-budget.js';

const TOTAL = 100;

describe('the bytes that are no request yet', ({ it }) => {
  // Guards against heads without an end on many connections, each within its own limit.
  it('close the connection that holds most, the oldest of equals', (t) => {
    const budget = createUnreadBudget<string>(TOTAL);
    t.is(budget.set('small', 10), undefined);
    t.is(budget.set('first', 45), undefined);
    t.is(budget.set('second', 45), undefined);
    t.is(budget.set('small', 11), 'first');
    budget.remove('first');
    t.is(budget.getUsed(), 56);
    t.is(budget.set('small', 12), undefined);
  });

  it('stay within the bound for any sequence', (t) => {
    const steps = fc.array(fc.record({ name: fc.nat(9), bytes: fc.nat(TOTAL) }));
    fc.assert(
      fc.property(steps, (all) => {
        const budget = createUnreadBudget<number>(TOTAL);
        const held = new Map<number, number>();
        for (const { name, bytes } of all) {
          const before = budget.getUsed() - (held.get(name) ?? 0);
          const closed = budget.set(name, bytes);
          held.set(name, bytes);
          t.is(closed === undefined, before + bytes <= TOTAL);
          if (closed !== undefined) {
            budget.remove(closed);
            held.delete(closed);
          }
          t.is(
            budget.getUsed(),
            [...held.values()].reduce((sum, each) => sum + each, 0),
          );
          t.true(budget.getUsed() <= TOTAL);
        }
      }),
    );
  });
});
