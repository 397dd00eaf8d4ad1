/** One run: a fresh fleet, one policy, one seed, the scenario's arrivals. */
import { Worker } from 'node:worker_threads';
import { startEmbeddedFleet } from '../embedded/embedded-fleet.js';
import type { EmbeddedFleet } from '../embedded/embedded-fleet.js';
import { buildArrivals } from './arrivals.js';
import type { CallersRequest } from './callers.js';
import { buildKey } from './callers.js';
import { DEPLOYMENTS, computeCapacity } from './deployments.js';
import type { Deployment, DeploymentName } from './deployments.js';
import { computeMeasures } from './measures.js';
import type { Observation, RunMeasures } from './measures.js';
import { POLICIES } from './policies.js';
import type { PolicyName } from './policies.js';
import { SCENARIOS } from './scenarios.js';
import type { Scenario } from './scenarios.js';

/** Options of a run. */
export interface RunRequest {
  readonly deployment: DeploymentName;
  readonly scenario: string;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly seconds: number;
  /** Omits the scenario's flood, to measure the others without it. */
  readonly isWithoutFlood: boolean;
}

const MODEL = 'assistant';
const WARM_UP_MS = 1500;
/** Goodput is measured where the burst is, once it has filled the engines. */
const BUSY = { from: 0.3, to: 0.8 } as const;
const UNBOUNDED = 100_000;

function startFleet(deployment: Deployment, scenario: Scenario, policy: PolicyName) {
  const classNames = deployment.classes.map(({ declaration }) => declaration.name);
  return startEmbeddedFleet({
    dataCentres: deployment.dataCentres,
    routerCount: deployment.entries,
    engineCount: deployment.engines,
    serviceCount: 0,
    slots: deployment.slots,
    stepMs: deployment.stepMs,
    model: MODEL,
    classes: deployment.classes.map(({ declaration }) => declaration),
    organisations: deployment.organisations.map(({ name }) => ({
      name,
      key: buildKey(name),
      classes: classNames,
      limits: {
        concurrency: scenario.concurrency ?? UNBOUNDED,
        requestsPerSecond: UNBOUNDED,
      },
    })),
    internals: { policy: POLICIES[policy], getPeerDelayMs: () => deployment.peerDelayMs },
    ...(scenario.reportLagMs === undefined ? {} : { reportLagMs: scenario.reportLagMs }),
  });
}

/** Sends all arrivals from a thread of its own, so that callers and routers do not share a loop. */
function runCallers(request: CallersRequest): Promise<Observation[]> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL('./callers-worker.js', import.meta.url), {
      workerData: request,
    });
    worker.once('message', (observations: Observation[]) => {
      resolve(observations);
      worker.terminate().catch(() => undefined);
    });
    worker.once('error', reject);
  });
}

function countOver(
  fleet: EmbeddedFleet,
  pick: (status: ReturnType<EmbeddedFleet['routers'][number]['getStatus']>) => number,
): number {
  return fleet.routers.reduce((sum, router) => sum + pick(router.getStatus()), 0);
}

/** Runs a scenario once and measures it. */
export async function runScenario(request: RunRequest): Promise<RunMeasures> {
  const deployment = DEPLOYMENTS[request.deployment];
  const found = SCENARIOS.get(request.scenario);
  if (found === undefined) throw new Error(`no scenario ${request.scenario}; see --help`);
  const windowMs = request.seconds * 1000;
  const arrivals = buildArrivals(deployment, found, request.seed, WARM_UP_MS, windowMs).filter(
    (arrival) => !(request.isWithoutFlood && arrival.isFlood),
  );
  const fleet = await startFleet(deployment, found, request.policy);
  const stopFaults = { stop: (): void => undefined };
  const faultTimer = setTimeout(() => {
    stopFaults.stop = found.startFaults?.(fleet, windowMs) ?? stopFaults.stop;
  }, WARM_UP_MS);
  const observations = await runCallers({
    urls: fleet.routers.map((router) => router.callersUrl),
    model: MODEL,
    arrivals,
    callerDelayMs: deployment.callerDelayMs,
  });
  clearTimeout(faultTimer);
  stopFaults.stop();
  const measures = computeMeasures({
    deployment,
    observations,
    engineTokens: fleet.engines.reduce((sum, engine) => sum + engine.counts.tokens, 0),
    capacity: computeCapacity(deployment),
    window: { fromMs: WARM_UP_MS, toMs: WARM_UP_MS + windowMs },
    busy: {
      fromMs: WARM_UP_MS + windowMs * BUSY.from,
      toMs: WARM_UP_MS + windowMs * BUSY.to,
    },
    invariantBreaches: countOver(fleet, (status) => status.invariantBreaches),
    preempted: countOver(fleet, (status) =>
      status.shards.reduce((sum, shard) => sum + shard.preempted, 0),
    ),
    resumed: 0,
  });
  await fleet.stop();
  return measures;
}
