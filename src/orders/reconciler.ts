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
const TRACKED_ENGINES_MAX = 4096;

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
  /** Returns orders for engines whose models differ from `desiredModels`, within the rate limit. */
  handle(
    reports: readonly EngineReport[],
    desiredModels: readonly string[],
    fence: number,
    nowMs: number,
  ): EngineOrder[];
}

export function createReconciler(): Reconciler {
  const lastOrderMs = createBoundedMap<string, number>(TRACKED_ENGINES_MAX);
  let availableLoads = LOADS_BURST;
  let lastRefillMs: number | undefined;

  function countMissingModels(report: EngineReport, desiredModels: readonly string[]): number {
    return desiredModels.filter((model) => !report.models.includes(model)).length;
  }

  function isDiverged(report: EngineReport, desiredModels: readonly string[]): boolean {
    const hasExtra = report.models.some((model) => !desiredModels.includes(model));
    return hasExtra || countMissingModels(report, desiredModels) > 0;
  }

  return {
    handle(reports, desiredModels, fence, nowMs) {
      const elapsedMs = nowMs - (lastRefillMs ?? nowMs);
      lastRefillMs = nowMs;
      availableLoads = Math.min(
        LOADS_BURST,
        availableLoads + (elapsedMs / 1000) * LOADS_PER_SECOND,
      );
      const orders: EngineOrder[] = [];
      for (const report of reports) {
        const isSettling = nowMs - (lastOrderMs.get(report.endpoint) ?? -Infinity) < SETTLE_MS;
        const missingCount = countMissingModels(report, desiredModels);
        const isWithinRate = missingCount === 0 || availableLoads >= 1;
        if (isDiverged(report, desiredModels) && !isSettling && isWithinRate) {
          availableLoads -= missingCount;
          lastOrderMs.set(report.endpoint, nowMs);
          orders.push({ endpoint: report.endpoint, fence, models: [...desiredModels] });
        }
      }
      return orders;
    },
  };
}
