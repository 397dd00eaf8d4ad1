/** Simulates, in virtual time, calls of several routes through the call runners of a fleet to simulated engines. */
import type { RoutedCall } from '../calls/call-messages.js';
import type { CallRunner } from '../calls/call-runner.js';
import type { AttemptRecord } from '../calls/call-records.js';
import type { Contact } from '../membership/membership-messages.js';
import { createRouteRanks } from '../routes/route-rank.js';
import type { TimerService } from '../runtime/timer-service.js';
import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import type { VirtualTime } from '../soak/virtual-time.js';
import type { EnabledFeatures } from '../types/features.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { addArrivals } from './simulated-arrivals.js';
import { createSimulatedCallers } from './simulated-callers.js';
import type { CallerHabits, SimulatedCall } from './simulated-callers.js';
import { buildContacts, buildDataCentre } from './simulated-contacts.js';
import { createSimulatedEngines } from './simulated-engines.js';
import type { EngineFleetOptions, SimulatedEngines } from './simulated-engines.js';
import { createSimulatedInstance } from './simulated-instance.js';
import type { SimulatedInstance } from './simulated-instance.js';
import { chooseDataCentre, chooseOrganisation, computeRateFactor } from './simulated-load.js';
import type { LoadShape } from './simulated-load.js';
import { createSimulatedNetwork } from './simulated-network.js';
import type { SimulatedNetwork } from './simulated-network.js';
import { buildCall } from './simulated-routes.js';
import type { SimulatedRoute } from './simulated-routes.js';

export type { SimulatedCall } from './simulated-callers.js';

export interface FleetSimulationOptions extends EngineFleetOptions, LoadShape {
  readonly seed: number;
  readonly routes: readonly SimulatedRoute[];
  /** Duration of arrivals. */
  readonly lengthMs: number;
  /**
   * Instances of the fleet.
   * @default 1
   */
  readonly instances?: number;
  /**
   * Data centres that instances and engines are spread over.
   * @default 1
   */
  readonly dataCentres?: number;
  /**
   * Time for the instances to discover each other before calls arrive.
   * @default 0
   */
  readonly warmUpMs?: number;
  /**
   * Whether the simulation stops once all calls have ended instead of at a fixed time.
   * @default false
   */
  readonly isStoppedWhenDone?: boolean;
  /**
   * Scheduling features in use.
   * @default all
   */
  readonly features?: EnabledFeatures;
  /**
   * Time by which messages about calls that instances carry for each other are late.
   * @default no instance carries calls
   */
  readonly carriedDelayMs?: number;
  /** @default callers stay, and do not return after a refusal */
  readonly habits?: CallerHabits;
}

export interface FleetSimulationResult {
  readonly calls: readonly SimulatedCall[];
  /** Mean absolute error of the running calls that an instance assumes for an engine. */
  readonly meanLoadError: number;
  /** Attempts at an engine with all slots taken while another had one free, by route. */
  readonly crowdedAttempts: ReadonlyMap<string, number>;
  /** Attempts that an engine rejected because its queue was full. */
  readonly rejectedAttempts: number;
  /** Mean datagrams sent per instance and second. */
  readonly datagramsPerSecond: number;
}

/** Time after the last arrival for running calls to end. */
const DRAIN_MS = 12_000;
/** Interval at which a simulation that stops when done looks for running calls. */
const DONE_CHECK_MS = 250;
/** Instances start evenly spread over this time. */
const START_SPREAD_MS = 300;

interface Simulation {
  readonly options: FleetSimulationOptions;
  readonly time: VirtualTime;
  readonly random: Random;
  readonly network: SimulatedNetwork;
  readonly engines: SimulatedEngines;
  /** Calls by ID, since a request to an engine carries only the ID. */
  readonly calls: Map<string, RoutedCall>;
  readonly arrivalsStartMs: number;
}

interface SimulatedFleet {
  readonly instances: readonly SimulatedInstance[];
  readonly timers: readonly TimerService[];
  /** Contacts of the instances. */
  readonly contacts: readonly Contact[];
}

function startFleet(
  simulation: Simulation,
  onAttempt: (record: AttemptRecord) => void,
): SimulatedFleet {
  const { options, time, network, engines } = simulation;
  const contacts = buildContacts(options.instances ?? 1, options.dataCentres ?? 1);
  const instances: SimulatedInstance[] = [];
  const timers: TimerService[] = [];
  const startInstance = (self: Contact, index: number): void => {
    const instanceTimers = time.createTimers(createActor(self.name), 0);
    timers.push(instanceTimers);
    const instance = createSimulatedInstance({
      self,
      contacts,
      timers: instanceTimers,
      random: createRandom(options.seed * 1000 + index),
      network,
      listOpen: () => engines.listRegistered(index / contacts.length),
      ranks: createRouteRanks(options.routes.map(({ route }) => route)),
      connections: engines.connections,
      takeTrialLease: () => Promise.resolve(false),
      checkConnection: (address) => engines.checkConnection(address),
      onAttempt,
      ...(options.features === undefined ? {} : { features: options.features }),
    });
    network.add(self.address, instance.exchange);
    if (options.carriedDelayMs !== undefined)
      network.addCarrier(self.address, instance.forwarding.runCarried);
    instances.push(instance);
  };
  contacts.forEach((self, index) => {
    if (index === 0) startInstance(self, index);
    else
      time.add(undefined, (START_SPREAD_MS * index) / contacts.length, () =>
        startInstance(self, index),
      );
  });
  return { instances, timers, contacts };
}

function createSimulation(options: FleetSimulationOptions): Simulation {
  const time = createVirtualTime();
  const calls = new Map<string, RoutedCall>();
  const arrivalsStartMs = options.warmUpMs ?? 0;
  return {
    options,
    time,
    random: createRandom(options.seed),
    network: createSimulatedNetwork(time, createRandom(options.seed + 1), {
      carriedDelayMs: options.carriedDelayMs ?? 0,
    }),
    engines: createSimulatedEngines({ options, time, arrivalsStartMs, calls }),
    calls,
    arrivalsStartMs,
  };
}

/** Chooses the instance at which a call arrives; any if those of its data centre are not started. */
function chooseRunner(
  { options, time, random, arrivalsStartMs }: Simulation,
  { instances, contacts }: SimulatedFleet,
  dataCentres: readonly string[],
): CallRunner {
  const nowMs = time.getNow() - arrivalsStartMs;
  const dataCentre = chooseDataCentre(options, dataCentres, nowMs, random);
  const eligible =
    dataCentre === undefined
      ? instances
      : instances.filter((_, index) => contacts[index]?.dataCentre === dataCentre);
  const started = eligible.length === 0 ? instances : eligible;
  return (started[random.nextIndex(started.length)] as SimulatedInstance).runner;
}

/** Schedules the calls of all routes; the returned list grows with them. */
function startArrivals(simulation: Simulation, fleet: SimulatedFleet): readonly SimulatedCall[] {
  const { options, time, random, calls, arrivalsStartMs } = simulation;
  const dataCentres = Array.from({ length: options.dataCentres ?? 1 }, (_, index) =>
    buildDataCentre(index, options.dataCentres ?? 1),
  );
  const addCall = (call: RoutedCall): void => {
    calls.set(call.callId, call);
  };
  const callers = createSimulatedCallers({
    time,
    random,
    habits: options.habits ?? {},
    arrivalsStartMs,
    chooseRunner: () => chooseRunner(simulation, fleet, dataCentres),
    addCall,
  });
  const results: SimulatedCall[] = [];
  for (const simulatedRoute of options.routes) {
    const { route, callsPerSecond } = simulatedRoute;
    const getLoadMs = (): number => time.getNow() - arrivalsStartMs;
    addArrivals({
      time,
      random,
      endMs: arrivalsStartMs + options.lengthMs,
      getRate: () =>
        callsPerSecond * computeRateFactor(options, route.name, dataCentres, getLoadMs()),
      start() {
        const runner = chooseRunner(simulation, fleet, dataCentres);
        const organisation = chooseOrganisation(options, route.name, getLoadMs(), random);
        const callId = `call-${results.length}`;
        const call = buildCall(simulatedRoute, callId, time.getNow(), random);
        const owned = organisation === undefined ? call : { ...call, organisation };
        addCall(owned);
        results.push(callers.send(owned, runner));
      },
    });
  }
  return results;
}

async function runUntilDrained(
  { options, time, arrivalsStartMs }: Simulation,
  calls: readonly SimulatedCall[],
): Promise<void> {
  const arrivalsEndMs = arrivalsStartMs + options.lengthMs;
  const drainedMs = arrivalsEndMs + DRAIN_MS;
  if (options.isStoppedWhenDone !== true) {
    await time.runUntil(drainedMs);
    return;
  }
  await time.runUntil(arrivalsEndMs);
  while (time.getNow() < drainedMs && calls.some(({ end }) => end === 'none')) {
    // Events run in order of virtual time.
    // eslint-disable-next-line no-await-in-loop
    await time.runUntil(time.getNow() + DONE_CHECK_MS);
  }
}

export async function runFleetSimulation(
  options: FleetSimulationOptions,
): Promise<FleetSimulationResult> {
  const simulation = createSimulation(options);
  const { time, network, engines, arrivalsStartMs } = simulation;
  let attempts = 0;
  let totalLoadError = 0;
  const crowdedAttempts = new Map<string, number>();
  const fleet = startFleet(simulation, ({ call, endpoint, load }) => {
    attempts += 1;
    if (engines.isCrowded(endpoint.address)) {
      const { name } = call.route;
      crowdedAttempts.set(name, (crowdedAttempts.get(name) ?? 0) + 1);
    }
    totalLoadError += Math.abs(load.running - engines.count(endpoint.address));
  });
  await time.runUntil(arrivalsStartMs);
  const calls = startArrivals(simulation, fleet);
  await runUntilDrained(simulation, calls);
  fleet.timers.forEach((instanceTimers) => instanceTimers.stop());
  const simulatedSeconds = time.getNow() / 1000;
  return {
    calls,
    meanLoadError: totalLoadError / Math.max(1, attempts),
    crowdedAttempts,
    rejectedAttempts: engines.countRejected(),
    datagramsPerSecond: network.countSent() / fleet.instances.length / simulatedSeconds,
  };
}

/** Runs the simulation and returns only the results of the calls. */
export async function runSimulatedCalls(
  options: FleetSimulationOptions,
): Promise<readonly SimulatedCall[]> {
  const { calls } = await runFleetSimulation(options);
  return calls;
}
