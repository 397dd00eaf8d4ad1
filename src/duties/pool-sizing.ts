/**
 * Computes the desired endpoint count of a pool per data centre. Performs no I/O.
 *
 * New endpoints take seconds to start, and start with empty caches, which is too late for short
 * load peaks. The pool therefore keeps headroom in cheaper spot capacity, enough to lose that of
 * any one data centre.
 */
import type { ScalingLimits } from '../types/traffic.js';

/** Size of the pool relative to its baseline. */
const HEADROOM_FACTOR = 4 / 3;
/** Minimum share of the baseline kept as on-demand endpoints. */
const ON_DEMAND_SHARE_MIN = 0.15;
/** The pool grows when prompts wait longer than this share of the tightest latency target. */
const BACKLOG_TARGET_SHARE = 0.25;
/** Maximum growth in one step. */
const GROWTH_FACTOR_MAX = 1.5;
/** Minimum share of on-demand endpoints kept in one step. */
const ON_DEMAND_REMAINING_SHARE = 0.5;

/** Running endpoints of a pool in one data centre. */
export interface RunningCount {
  readonly dataCentre: string;
  /** On-demand endpoints that accept calls; `spot` counts spot endpoints that do. */
  readonly onDemand: number;
  readonly spot: number;
}

/** Desired endpoints of a pool in one data centre. */
export interface DesiredCount {
  readonly dataCentre: string;
  readonly onDemand: number;
  readonly spot: number;
}

export interface SizingInput {
  readonly scaling: ScalingLimits;
  readonly running: readonly RunningCount[];
  /** Minimum number of endpoints: the count before the first request. */
  readonly baseline: number;
  /** Highest count required recently. */
  readonly peakCount: number;
  /** Estimated wait of a prompt before it is processed; 0 if unknown. */
  readonly backlogMs: number;
  /** Tightest latency target of the pool's routes; infinite if there is none. */
  readonly targetMs: number;
}

function isSpotCheaper({ spotPrice }: ScalingLimits): boolean {
  return spotPrice !== undefined && spotPrice < 1;
}

/** Number of endpoints that the load requires. */
export function computeRequiredCount(input: SizingInput): number {
  const { running, baseline, peakCount, backlogMs, targetMs } = input;
  const runningCount = running.reduce((sum, { onDemand, spot }) => sum + onDemand + spot, 0);
  const factor = Math.min(GROWTH_FACTOR_MAX, backlogMs / (targetMs * BACKLOG_TARGET_SHARE));
  const grown = factor > 1 ? Math.ceil(runningCount * factor) : 0;
  return Math.max(Math.ceil(baseline * HEADROOM_FACTOR), peakCount, grown);
}

function computeSpotPerDataCentre(
  requiredCount: number,
  onDemand: number,
  dataCentres: number,
): number {
  const remainder = Math.max(0, requiredCount - onDemand * dataCentres);
  return Math.ceil(remainder / Math.max(1, dataCentres - 1));
}

/**
 * Empty if spot capacity is not cheaper. On-demand endpoints are removed stepwise, and only once
 * spot endpoints replace them, because their caches are lost with them.
 */
export function computeDesired(input: SizingInput): DesiredCount[] {
  const { scaling, running } = input;
  const dataCentres = running.length;
  if (dataCentres === 0 || !isSpotCheaper(scaling)) return [];
  const minOnDemand = Math.min(
    scaling.max,
    Math.max(scaling.min, Math.ceil((input.baseline * ON_DEMAND_SHARE_MIN) / dataCentres)),
  );
  const spot = computeSpotPerDataCentre(computeRequiredCount(input), minOnDemand, dataCentres);
  const runningSpot = running.reduce((sum, each) => sum + each.spot, 0);
  // Headroom above the baseline consists of spot endpoints only.
  const shortfall = Math.max(0, input.baseline - runningSpot);
  const targetOnDemand = Math.max(minOnDemand, Math.ceil(shortfall / dataCentres));
  return running.map((each) => {
    const stepDownFloor = Math.floor(each.onDemand * ON_DEMAND_REMAINING_SHARE);
    const onDemand = Math.min(
      scaling.max,
      Math.max(targetOnDemand, Math.min(each.onDemand, stepDownFloor)),
    );
    return {
      dataCentre: each.dataCentre,
      onDemand,
      spot: Math.max(0, Math.min(spot, scaling.max - onDemand)),
    };
  });
}
