/** Budgets of second tries, one for each pool. */
import { createSharedRetryBudget } from './shared-retry-budget.js';
import type { RetryBounds, SharedRetryBudget } from './shared-retry-budget.js';

/** The budgets of one instance. */
export interface PoolBudgets {
  get(pool: string): SharedRetryBudget;
}

/** Builds budgets of which nothing is spent. `createdMs`: when the instance started, on the monotonic clock. */
export function createPoolBudgets(bounds: RetryBounds, createdMs: number): PoolBudgets {
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
