/** Retry budgets, one for each pool. */
import { createSharedRetryBudget } from './shared-retry-budget.js';
import type { RetryBounds, SharedRetryBudget } from './shared-retry-budget.js';

/** Retry budgets of one instance. */
export interface PoolRetryBudgets {
  get(pool: string): SharedRetryBudget;
}

/** Creates budgets on first use. `createdMs` is the start of the instance on the monotonic clock. */
export function createPoolRetryBudgets(bounds: RetryBounds, createdMs: number): PoolRetryBudgets {
  const budgets = new Map<string, SharedRetryBudget>();
  return {
    get(pool) {
      const known = budgets.get(pool);
      if (known !== undefined) return known;
      const budget = createSharedRetryBudget(bounds, createdMs);
      budgets.set(pool, budget);
      return budget;
    },
  };
}
