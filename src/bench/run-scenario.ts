/** One run: a fresh fleet, one policy, one seed, the scenario's arrivals. */
import { startEmbeddedFleet } from '../embedded/embedded-fleet.js';
import type { EmbeddedFleet } from '../embedded/embedded-fleet.js';
import { createCompletionClient } from '../load/completion-client.js';
import type { CompletionClient } from '../load/completion-client.js';
import { buildArrivals } from './arrivals.js';
import type { Arrival } from './arrivals.js';
import { DEPLOYMENTS, computeCapacity } from './deployments.js';
import type { Deployment, DeploymentName } from './deployments.js';
import { computeMeasures } from './measures.js';
import type { Observation, RunMeasures } from './measures.js';
import { POLICIES } from './policies.js';
import type { PolicyName } from './policies.js';
import { SCENARIOS } from './scenarios.js';
import type { Scenario } from './scenarios.js';

/** What to run. */
export interface RunRequest {
  readonly deployment: DeploymentName;
  readonly scenario: string;
  readonly policy: PolicyName;
  readonly seed: number;
  readonly seconds: number;
  /** Leaves a scenario's flood out, to see what the others attain without it. */
  readonly isWithoutFlood: boolean;
}

const MODEL = 'assistant';
const WARM_UP_MS = 1500;
/** Goodput is measured where the burst is, once it has filled the engines. */
const BUSY = { from: 0.3, to: 0.8 } as const;
const UNBOUNDED = 100_000;

function buildKey(organisation: string): string {
  return `key-of-${organisation}`;
}

function startFleet(deployment: Deployment, scenario: Scenario, policy: PolicyName) {
  const classNames = deployment.classes.map(({ declaration }) => declaration.name);
  return startEmbeddedFleet({
    dataCentres: deployment.dataCentres,
    entries: deployment.entries,
    engines: deployment.engines,
    services: 0,
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

async function waitMs(ms: number): Promise<void> {
  await new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function sendArrival(
  fleet: EmbeddedFleet,
  client: CompletionClient,
  arrival: Arrival,
  startedMs: number,
  callerDelayMs: number,
): Promise<Observation> {
  const tokenTimesMs: number[] = [];
  const sentMs = performance.now();
  await waitMs(callerDelayMs);
  const result = await client.send({
    url: fleet.routers[arrival.entry]?.callersUrl ?? '',
    key: buildKey(arrival.organisation),
    model: MODEL,
    prompt: arrival.prompt,
    className: arrival.className,
    ...(arrival.giveUpMs === undefined ? {} : { giveUpMs: arrival.giveUpMs }),
    onText: () => tokenTimesMs.push(performance.now() - startedMs),
  });
  // There and back: the way to the caller counts like the way from it.
  const addedMs = callerDelayMs + performance.now() - sentMs - result.totalMs - callerDelayMs;
  return {
    arrival,
    tokenTimesMs,
    result: {
      ...result,
      firstTokenMs: result.firstTokenMs === undefined ? undefined : result.firstTokenMs + addedMs,
      totalMs: result.totalMs + addedMs + callerDelayMs,
    },
  };
}

async function sendArrivals(
  fleet: EmbeddedFleet,
  client: CompletionClient,
  arrivals: readonly Arrival[],
  callerDelayMs: number,
): Promise<Observation[]> {
  const startedMs = performance.now();
  const pending: Promise<Observation>[] = [];
  for (const arrival of arrivals) {
    const dueInMs = startedMs + arrival.atMs - performance.now();
    // Open loop: arrivals wait for their moment, never for an answer.
    // eslint-disable-next-line no-await-in-loop
    if (dueInMs > 1) await waitMs(dueInMs);
    pending.push(sendArrival(fleet, client, arrival, startedMs, callerDelayMs));
  }
  return Promise.all(pending);
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
  const client = createCompletionClient();
  const stopFaults = { stop: (): void => undefined };
  const faultTimer = setTimeout(() => {
    stopFaults.stop = found.startFaults?.(fleet, windowMs) ?? stopFaults.stop;
  }, WARM_UP_MS);
  const observations = await sendArrivals(fleet, client, arrivals, deployment.callerDelayMs);
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
  await client.close();
  await fleet.stop();
  return measures;
}
