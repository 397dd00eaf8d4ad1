/** Scenarios of the bench: load over time, and faults. */
import type { EmbeddedFleet } from '../embedded/embedded-fleet.js';
import type { Deployment } from './deployments.js';

/** A scenario. */
export interface Scenario {
  readonly name: string;
  readonly description: string;
  /** Demand of a class as a share of capacity, at a moment of the measured window (0 to 1). */
  readonly getDemand: (deployment: Deployment, className: string, moment: number) => number;
  /** Injects faults during the measured window. */
  readonly startFaults?: (fleet: EmbeddedFleet, windowMs: number) => () => void;
  /** Extra demand of one organisation, as a share of capacity. */
  readonly flood?: number;
  /** Requests an organisation may have in flight, waiting ones included; unbounded unless given. */
  readonly concurrency?: number;
  /** Share of callers that give up early. */
  readonly givingUp?: number;
  /** Prompts that share their beginning. */
  readonly hasSharedPrefixes?: boolean;
  readonly reportLagMs?: number;
}

const CALM_LOAD = 0.6;
/** The burst lasts from the first to the second part of the window. */
const BURST = { from: 0.1, to: 0.9 } as const;
const BURST_TOP_CLASS = 0.55;
const STRAGGLER_SLOWDOWN = 10;
const GIVING_UP_SHARE = 0.3;
/** A plausible limit for one organisation: half of the slots of the first deployment. */
const FLOOD_CONCURRENCY = 24;

function findShare(deployment: Deployment, className: string): number {
  const found = deployment.classes.find((entry) => entry.declaration.name === className);
  return found?.share ?? 0;
}

function isTopClass(deployment: Deployment, className: string): boolean {
  return deployment.classes[0]?.declaration.name === className;
}

function isInBurst(moment: number): boolean {
  return moment >= BURST.from && moment < BURST.to;
}

/** All classes by their shares, at `load` times the capacity. */
function createSteadyDemand(load: number): Scenario['getDemand'] {
  return (deployment, className) => findShare(deployment, className) * load;
}

/**
 * Calm before and after; in between `load` times the capacity, of which the top class asks for
 * BURST_TOP_CLASS of the capacity and the others share the rest.
 */
function createBurstDemand(load: number): Scenario['getDemand'] {
  return (deployment, className, moment) => {
    const share = findShare(deployment, className);
    if (!isInBurst(moment)) return share * CALM_LOAD;
    if (isTopClass(deployment, className)) return BURST_TOP_CLASS;
    const others = 1 - (deployment.classes[0]?.share ?? 0);
    return ((load - BURST_TOP_CLASS) * share) / others;
  };
}

function startStraggler(fleet: EmbeddedFleet): () => void {
  const [engine] = fleet.engines;
  if (engine !== undefined) engine.faults.slowdown = STRAGGLER_SLOWDOWN;
  return () => undefined;
}

function startCrash(fleet: EmbeddedFleet, windowMs: number): () => void {
  const timer = setTimeout(() => {
    fleet.engines[0]?.close().catch(() => undefined);
  }, windowMs / 2);
  return () => clearTimeout(timer);
}

const LIST: readonly Scenario[] = [
  {
    name: 'calm',
    description: 'every class at ease, 0.6 of capacity',
    getDemand: createSteadyDemand(CALM_LOAD),
  },
  {
    name: 'counter-burst',
    description: 'the counter opens: 1.5 times capacity for the middle of the window',
    getDemand: createBurstDemand(1.5),
  },
  {
    name: 'dawn-1.5',
    description: 'the auction starts: 1.5 times capacity',
    getDemand: createBurstDemand(1.5),
  },
  {
    name: 'dawn-3',
    description: 'the auction starts: 3 times capacity',
    getDemand: createBurstDemand(3),
  },
  {
    name: 'flood',
    description: 'one organisation asks for twice the capacity beside a calm load',
    getDemand: createSteadyDemand(CALM_LOAD),
    flood: 2,
    concurrency: FLOOD_CONCURRENCY,
  },
  {
    name: 'straggler',
    description: 'one engine at a tenth of its speed',
    getDemand: createSteadyDemand(CALM_LOAD),
    startFaults: startStraggler,
  },
  {
    name: 'crash',
    description: 'an engine dies in the middle of a burst',
    getDemand: createBurstDemand(1.5),
    startFaults: startCrash,
  },
  {
    name: 'late-reports',
    description: 'a burst while load reports are 5 s late',
    getDemand: createBurstDemand(1.5),
    reportLagMs: 5000,
  },
  {
    name: 'prefixes',
    description: 'prompts that share long beginnings, 0.9 of capacity',
    getDemand: createSteadyDemand(0.9),
    hasSharedPrefixes: true,
  },
  {
    name: 'giving-up',
    description: 'a burst in which three callers in ten give up early',
    getDemand: createBurstDemand(1.5),
    givingUp: GIVING_UP_SHARE,
  },
];

export const SCENARIOS: ReadonlyMap<string, Scenario> = new Map(
  LIST.map((scenario) => [scenario.name, scenario]),
);
