/**
 * Brings engines to the models that are declared, with as few loads as it can, free of I/O. Orders
 * say the whole wanted state, so one that is repeated or late does no harm that the next look at the
 * engine's report would not repair.
 */
import { createBoundedMap } from '../utils/bounded-map.js';

/** Loads begun a second, so that the weight store's rate is kept. */
const LOADS_PER_SECOND = 0.5;
const LOADS_BURST = 2;
/** After an order an engine has this long to show its effect, in milliseconds. */
const SETTLE_MS = 5000;
const ENGINES_KEPT = 4096;

/** What an engine reports. */
export interface EngineReport {
  readonly endpoint: string;
  readonly models: readonly string[];
}

/** An order to one engine. */
export interface EngineOrder {
  readonly endpoint: string;
  readonly fence: number;
  readonly models: readonly string[];
}

/** Decides which orders are due. */
export interface Reconciler {
  /** Orders for the engines whose report differs from `wanted`. */
  handle(
    reports: readonly EngineReport[],
    wanted: readonly string[],
    fence: number,
    nowMs: number,
  ): EngineOrder[];
}

/** Builds a reconciler that has ordered nothing. */
export function createReconciler(): Reconciler {
  const orderedMs = createBoundedMap<string, number>(ENGINES_KEPT);
  let allowance = LOADS_BURST;
  let refilledMs: number | undefined;

  function countLoads(report: EngineReport, wanted: readonly string[]): number {
    return wanted.filter((model) => !report.models.includes(model)).length;
  }

  function isWrong(report: EngineReport, wanted: readonly string[]): boolean {
    const hasExtra = report.models.some((model) => !wanted.includes(model));
    return hasExtra || countLoads(report, wanted) > 0;
  }

  return {
    handle(reports, wanted, fence, nowMs) {
      const elapsedMs = nowMs - (refilledMs ?? nowMs);
      refilledMs = nowMs;
      allowance = Math.min(LOADS_BURST, allowance + (elapsedMs / 1000) * LOADS_PER_SECOND);
      const orders: EngineOrder[] = [];
      for (const report of reports) {
        const isSettling = nowMs - (orderedMs.get(report.endpoint) ?? -Infinity) < SETTLE_MS;
        const loads = countLoads(report, wanted);
        const isPaced = loads === 0 || allowance >= 1;
        if (isWrong(report, wanted) && !isSettling && isPaced) {
          allowance -= loads;
          orderedMs.set(report.endpoint, nowMs);
          orders.push({ endpoint: report.endpoint, fence, models: [...wanted] });
        }
      }
      return orders;
    },
  };
}
