import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { ITEM_BYTES, createMemoryBudget } from './memory-budget.js';
import type { MemoryTicket } from './memory-budget.js';

const TOTAL_BYTES = 1_000_000;
const LARGE_BYTES = 100_000;
const SMALL_BYTES = 1000;

/** Takes large bodies until there is no room; returns how many there were. */
function takeAll(budget: ReturnType<typeof createMemoryBudget>, owner: string): number {
  let count = 0;
  while (budget.take(owner, LARGE_BYTES) !== undefined) count += 1;
  return count;
}

describe('memory for bodies', ({ it }) => {
  // Guards against one organisation whose bodies leave no room for those of the others.
  it('leaves room for other organisations, and for small bodies of all', (t) => {
    const budget = createMemoryBudget(TOTAL_BYTES);
    const first = takeAll(budget, 'first');
    t.true(first >= 5, `${first} bodies of one organisation alone`);
    t.truthy(budget.take('second', LARGE_BYTES));
    takeAll(budget, 'second');
    t.truthy(budget.take('third', SMALL_BYTES));
    t.truthy(budget.take('first', SMALL_BYTES));
  });

  // Guards against a body of unknown length that grows out of the reserve for small ones.
  it('moves a body that grows out of the reserve', (t) => {
    const budget = createMemoryBudget(TOTAL_BYTES);
    const ticket = budget.take('first', 0);
    t.true(ticket?.grow(60_000));
    t.true(ticket?.grow(60_000));
    t.is(budget.getUsed(), 120_000 + ITEM_BYTES);
    takeAll(budget, 'first');
    t.false(ticket?.grow(LARGE_BYTES));
    t.true(budget.getUsed() <= TOTAL_BYTES);
  });

  // Guards against memory that is given back twice or never, so that the bound drifts.
  it('never exceeds its total, and is free again once all bodies are released', (t) => {
    const step = fc.record({
      owner: fc.constantFrom('a', 'b', 'c'),
      bytes: fc.integer({ min: 0, max: 300_000 }),
      action: fc.constantFrom('take', 'grow', 'release'),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const budget = createMemoryBudget(TOTAL_BYTES);
        const tickets: MemoryTicket[] = [];
        for (const { owner, bytes, action } of steps) {
          if (action === 'take') {
            const ticket = budget.take(owner, bytes);
            if (ticket !== undefined) tickets.push(ticket);
          } else if (action === 'grow') tickets.at(-1)?.grow(bytes);
          else tickets.pop()?.release();
          if (budget.getUsed() > TOTAL_BYTES) return false;
        }
        for (const ticket of tickets) ticket.release();
        return budget.getUsed() === 0;
      }),
    );
    t.pass();
  });
});
