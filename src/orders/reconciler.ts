/**
 * Reconciles the models that engines have loaded with the declared ones. An order carries the whole
 * desired state, so repeated and late orders are corrected with the next report. Does no I/O.
 */
import { createBoundedMap } from '../utils/bounded-map.js';

/** Rate limit for model loads, to protect the store of model weights. */
const LOADS_PER_SECOND = 0.5;
const LOADS_BURST = 2;
/** Time for an engine to report the effect of an order before it gets another one. */
const SETTLE_MS = 5000;
const ENGINES_KEPT = 4096;

/** The models that an engine reports as loaded. */
export interface EngineReport {
  readonly endpoint: string;
  readonly models: readonly string[];
}

/** An order to an engine to load exactly these models. */
export interface EngineOrder {
  readonly endpoint: string;
  readonly fence: number;
  readonly models: readonly string[];
}

export interface Reconciler {
  /** Returns orders for engines whose models differ from `wanted`, within the rate limit. */
  handle(
    reports: readonly EngineReport[],
    wanted: readonly string[],
    fence: number,
    nowMs: number,
  ): EngineOrder[];
}

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
