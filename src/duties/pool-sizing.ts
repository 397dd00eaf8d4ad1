/**
 * Decides how many endpoints of a pool there are to be in each data centre, free of I/O.
 *
 * The load it answers: crowds of two to three times the usual come for a few seconds, and an endpoint that
 * is ordered serves seconds later, with nothing in its memory: what is ordered on proof comes too late. So
 * room is kept ahead, with endpoints that cost a part of the others' price and may be taken back, those of
 * a data centre all at once: so many that any data centre's may go and there is still that room.
 */
import type { ScalingBounds } from '../types/traffic.js';

/** The pool is kept this many times as large as declared. */
const HEADROOM_FACTOR = 4 / 3;
/** Part of the pool that is never made of endpoints that may be taken back. */
const ON_DEMAND_SHARE_MIN = 0.15;
/** Where prompts would wait this part of the tightest target to be read, the pool is too small. */
const BACKLOG_TARGET_SHARE = 0.25;
/** The pool grows at one time by this factor at the most. */
const GROWTH_FACTOR_MAX = 1.5;
/** Part of the lasting endpoints that is given back at one time at the most. */
const ON_DEMAND_REMAINING_SHARE = 0.5;

/** Endpoints of a pool in one data centre. */
export interface PoolPresence {
  readonly dataCentre: string;
  /** Those that take calls: lasting ones, and ones that may be taken back. */
  readonly lasting: number;
  readonly spot: number;
}

/** What is to be there in one data centre. */
export interface DesiredCount {
  readonly dataCentre: string;
  readonly lasting: number;
  readonly spot: number;
}

/** What decides the size of a pool. */
export interface SizingInput {
  readonly scaling: ScalingBounds;
  readonly present: readonly PoolPresence[];
  /** Endpoints that there are to be in any case: as many as there were before anything was ordered. */
  readonly baseline: number;
  /** The largest need of the last time. */
  readonly peakCount: number;
  /** How long a prompt would wait to be read, in milliseconds; 0 while unknown. */
  readonly backlogMs: number;
  /** The tightest target of the pool's routes, in milliseconds; infinite where there is none. */
  readonly targetMs: number;
}

function isSpotCheaper({ spotPrice }: ScalingBounds): boolean {
  return spotPrice !== undefined && spotPrice < 1;
}

/** How many endpoints the load needs. */
export function computeRequiredCount(input: SizingInput): number {
  const { present: running, baseline, peakCount, backlogMs, targetMs } = input;
  const runningCount = running.reduce((sum, { lasting, spot }) => sum + lasting + spot, 0);
  const factor = Math.min(GROWTH_FACTOR_MAX, backlogMs / (targetMs * BACKLOG_TARGET_SHARE));
  const grown = factor > 1 ? Math.ceil(runningCount * factor) : 0;
  return Math.max(Math.ceil(baseline * HEADROOM_FACTOR), peakCount, grown);
}

function computeSpotPerDataCentre(
  requiredCount: number,
  lasting: number,
  dataCentres: number,
): number {
  const remainder = Math.max(0, requiredCount - lasting * dataCentres);
  return Math.ceil(remainder / Math.max(1, dataCentres - 1));
}

/**
 * What is to be there; nothing where nothing cheaper is offered: the pool is left as it is. Lasting endpoints go only once enough others take calls, and not all at one time:
 * with them goes what their engines hold in memory.
 */
export function computeDesired(input: SizingInput): DesiredCount[] {
  const { scaling, present: running } = input;
  const dataCentres = running.length;
  if (dataCentres === 0 || !isSpotCheaper(scaling)) return [];
  const minOnDemand = Math.min(
    scaling.max,
    Math.max(scaling.min, Math.ceil((input.baseline * ON_DEMAND_SHARE_MIN) / dataCentres)),
  );
  const spot = computeSpotPerDataCentre(computeRequiredCount(input), minOnDemand, dataCentres);
  const runningSpot = running.reduce((sum, each) => sum + each.spot, 0);
  // Room beyond the least is made of what is cheap, or not at all.
  const shortfall = Math.max(0, input.baseline - runningSpot);
  const targetOnDemand = Math.max(minOnDemand, Math.ceil(shortfall / dataCentres));
  return running.map((each) => {
    const stepDownFloor = Math.floor(each.lasting * ON_DEMAND_REMAINING_SHARE);
    const lasting = Math.min(
      scaling.max,
      Math.max(targetOnDemand, Math.min(each.lasting, stepDownFloor)),
    );
    return {
      dataCentre: each.dataCentre,
      lasting,
      spot: Math.max(0, Math.min(spot, scaling.max - lasting)),
    };
  });
}
