/** Simulates, in virtual time, calls of several routes through the call runners of a fleet to simulated engines. */
import type { CallSink, RoutedCall } from '../calls/call-messages.js';
import type { CallRunner } from '../calls/call-runner.js';
import type { AttemptRecord } from '../calls/call-records.js';
import type { EndpointConnections } from '../calls/endpoint-connections.js';
import type { Contact } from '../membership/membership-messages.js';
import { CONNECTION_RESULT } from '../quarantine/crash-detector.js';
import { createRouteRanks } from '../routes/route-rank.js';
import type { TimerService } from '../runtime/timer-service.js';
import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import type { VirtualTime } from '../soak/virtual-time.js';
import type { RegisteredEndpoint, Route } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { addArrivals } from './simulated-arrivals.js';
import { buildContacts, buildDataCentre } from './simulated-contacts.js';
import { createSimulatedInstance } from './simulated-instance.js';
import type { SimulatedInstance } from './simulated-instance.js';
import { createSimulatedNetwork } from './simulated-network.js';
import type { SimulatedNetwork } from './simulated-network.js';
import { POOL, buildCall } from './simulated-routes.js';
import type { SimulatedRoute } from './simulated-routes.js';
import { createSimulatedEngine } from './simulated-engine.js';
import type { SimulatedEngine } from './simulated-engine.js';

/** An interval in which the arrival rate is multiplied. */
export interface Burst {
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
}

export interface FleetSimulationOptions {
  readonly seed: number;
  readonly engines: number;
  readonly slots: number;
  readonly queueMax: number;
  readonly routes: readonly SimulatedRoute[];
  /** Relative to the start of arrivals. */
  readonly burst: Burst;
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
}

/** The result of a call as its caller sees it. */
export interface SimulatedCall {
  readonly route: string;
  /** Relative to the start of arrivals. */
  readonly receivedMs: number;
  firstEventMs: number | undefined;
  /** The longest gap between two events. */
  maxGapMs: number;
  end: 'whole' | 'refused' | 'left' | 'failed' | 'none';
  /** Whether the call completed within both the first-event target and the gap target of its route. */
  isInTime: boolean;
}

export interface FleetSimulationResult {
  readonly calls: readonly SimulatedCall[];
  /** Mean absolute error of the running calls that an instance assumes for an engine. */
  readonly meanLoadError: number;
  /** Attempts that an engine rejected because its queue was full. */
  readonly rejectedAttempts: number;
  /** Mean datagrams sent per instance and second. */
  readonly datagramsPerSecond: number;
}

/** A caller cancels without a first event after the longest of this and multiples of the targets. */
const FIRST_EVENT_TIMEOUT_MIN_MS = 2000;
const FIRST_EVENT_TIMEOUT_TARGETS = 4;
const FIRST_EVENT_TIMEOUT_GAPS = 8;
/** Time after the last arrival for running calls to end. */
const DRAIN_MS = 12_000;
/** Instances start evenly spread over this time. */
const START_SPREAD_MS = 300;

interface Simulation {
  readonly options: FleetSimulationOptions;
  readonly time: VirtualTime;
  readonly random: Random;
  readonly network: SimulatedNetwork;
  readonly engines: ReadonlyMap<string, SimulatedEngine>;
  readonly endpoints: readonly RegisteredEndpoint[];
  /** Calls by ID, since a request to an engine carries only the ID. */
  readonly calls: Map<string, RoutedCall>;
  readonly arrivalsStartMs: number;
}

function computeFirstEventTimeoutMs({ targetMs, gapTargetMs = 0 }: Route): number {
  return Math.max(
    FIRST_EVENT_TIMEOUT_MIN_MS,
    targetMs * FIRST_EVENT_TIMEOUT_TARGETS,
    gapTargetMs * FIRST_EVENT_TIMEOUT_GAPS,
  );
}

function buildEndpoints(options: FleetSimulationOptions): readonly RegisteredEndpoint[] {
  const { engines, slots } = options;
  return Array.from({ length: engines }, (_, index) => {
    const id = `engine-${index + 1}`;
    const dataCentre = buildDataCentre(index, options.dataCentres ?? 1);
    return {
      id,
      startId: id,
      pool: POOL,
      address: id,
      dataCentre,
      slots,
      isLeaving: false,
      isSpot: false,
      softwareVersion: 'v1',
    };
  });
}

function createConnections({ engines, calls }: Simulation): EndpointConnections {
  return {
    open(address, _connectionsMax, { target }, listener) {
      const call = calls.get(target) as RoutedCall;
      return (engines.get(address) as SimulatedEngine).start(call, listener);
    },
    closeAll: () => undefined,
    closeIdle: () => undefined,
    countOpened: () => 0,
    close: () => Promise.resolve(),
  };
}

function startFleet(
  simulation: Simulation,
  onAttempt: (record: AttemptRecord) => void,
): { readonly instances: readonly SimulatedInstance[]; readonly timers: readonly TimerService[] } {
  const { options, time, network, endpoints } = simulation;
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
      listOpen: () => endpoints,
      ranks: createRouteRanks(options.routes.map(({ route }) => route)),
      connections: createConnections(simulation),
      takeTrialLease: () => Promise.resolve(false),
      checkConnection: () => Promise.resolve(CONNECTION_RESULT.Accepted),
      onAttempt,
    });
    network.add(self.address, instance.exchange);
    instances.push(instance);
  };
  contacts.forEach((self, index) => {
    if (index === 0) startInstance(self, index);
    else
      time.add(undefined, (START_SPREAD_MS * index) / contacts.length, () =>
        startInstance(self, index),
      );
  });
  return { instances, timers };
}

function createCallObserver(
  { time, arrivalsStartMs }: Simulation,
  { name, targetMs, gapTargetMs = Infinity }: Route,
): {
  readonly result: SimulatedCall;
  readonly sink: CallSink;
  setEnd(end: SimulatedCall['end']): void;
} {
  const startedMs = time.getNow();
  let lastMs: number | undefined;
  const result: SimulatedCall = {
    route: name,
    receivedMs: startedMs - arrivalsStartMs,
    firstEventMs: undefined,
    maxGapMs: 0,
    end: 'none',
    isInTime: false,
  };
  const setEnd = (end: SimulatedCall['end']): void => {
    if (result.end !== 'none') return;
    const { firstEventMs = Infinity, maxGapMs } = result;
    result.end = end;
    result.isInTime = end === 'whole' && firstEventMs <= targetMs && maxGapMs <= gapTargetMs;
  };
  return {
    result,
    setEnd,
    sink: {
      onHead: () => undefined,
      onEvent() {
        const nowMs = time.getNow();
        result.firstEventMs ??= nowMs - startedMs;
        result.maxGapMs = Math.max(result.maxGapMs, nowMs - (lastMs ?? nowMs));
        lastMs = nowMs;
      },
      onEnd: () => setEnd('whole'),
      onResponse: () => setEnd('failed'),
      onBroken: () => setEnd('failed'),
      onFailure: () => setEnd('refused'),
    },
  };
}

/** Starts a call that its caller cancels when the first event or the end is late. */
function startCall(
  simulation: Simulation,
  runner: CallRunner,
  simulatedRoute: SimulatedRoute,
): SimulatedCall {
  const { time, calls } = simulation;
  const { route } = simulatedRoute;
  const call = buildCall(simulatedRoute, `call-${calls.size}`, time.getNow(), simulation.random);
  calls.set(call.callId, call);
  const { result, sink, setEnd } = createCallObserver(simulation, route);
  const running = runner.run(call, sink);
  const cancelCall = (): void => {
    if (result.end !== 'none') return;
    setEnd('left');
    running.close();
  };
  time.add(undefined, computeFirstEventTimeoutMs(route), () => {
    if (result.firstEventMs === undefined) cancelCall();
  });
  time.add(undefined, route.timeoutMs, cancelCall);
  return result;
}

function computeRate(
  { options: { burst }, time, arrivalsStartMs }: Simulation,
  { callsPerSecond }: SimulatedRoute,
): number {
  const nowMs = time.getNow() - arrivalsStartMs;
  return nowMs >= burst.fromMs && nowMs < burst.toMs
    ? callsPerSecond * burst.factor
    : callsPerSecond;
}

function createSimulation(options: FleetSimulationOptions): Simulation {
  const time = createVirtualTime();
  const endpoints = buildEndpoints(options);
  return {
    options,
    time,
    random: createRandom(options.seed),
    network: createSimulatedNetwork(time, createRandom(options.seed + 1)),
    engines: new Map(
      endpoints.map(({ address }) => [address, createSimulatedEngine(time, options)]),
    ),
    endpoints,
    calls: new Map(),
    arrivalsStartMs: options.warmUpMs ?? 0,
  };
}

export async function runFleetSimulation(
  options: FleetSimulationOptions,
): Promise<FleetSimulationResult> {
  const simulation = createSimulation(options);
  const { time, network, engines, random, arrivalsStartMs } = simulation;
  let attempts = 0;
  let totalLoadError = 0;
  const { instances, timers } = startFleet(simulation, ({ endpoint, load }) => {
    const engine = engines.get(endpoint.address) as SimulatedEngine;
    attempts += 1;
    totalLoadError += Math.abs(load.running - engine.count());
  });
  await time.runUntil(arrivalsStartMs);
  const callResults: SimulatedCall[] = [];
  for (const simulatedRoute of options.routes) {
    addArrivals({
      time,
      random,
      endMs: arrivalsStartMs + options.lengthMs,
      getRate: () => computeRate(simulation, simulatedRoute),
      start() {
        const { runner } = instances[random.nextIndex(instances.length)] as SimulatedInstance;
        callResults.push(startCall(simulation, runner, simulatedRoute));
      },
    });
  }
  await time.runUntil(arrivalsStartMs + options.lengthMs + DRAIN_MS);
  timers.forEach((instanceTimers) => instanceTimers.stop());
  const simulatedSeconds = (arrivalsStartMs + options.lengthMs + DRAIN_MS) / 1000;
  return {
    calls: callResults,
    meanLoadError: totalLoadError / Math.max(1, attempts),
    rejectedAttempts: [...engines.values()].reduce(
      (sum, engine) => sum + engine.countRejected(),
      0,
    ),
    datagramsPerSecond: network.countSent() / instances.length / simulatedSeconds,
  };
}

/** Runs the simulation and returns only the results of the calls. */
export async function runSimulatedCalls(
  options: FleetSimulationOptions,
): Promise<readonly SimulatedCall[]> {
  const { calls } = await runFleetSimulation(options);
  return calls;
}
