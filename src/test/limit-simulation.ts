/** Simulates, in virtual time, a fleet whose endpoints name rate limits, and counts what reaches them. */
import type { CallSink, RoutedCall } from '../calls/call-messages.js';
import type { EndpointConnections, ExchangeListener } from '../calls/endpoint-connections.js';
import { CONNECTION_RESULT } from '../quarantine/crash-detector.js';
import { createRouteRanks } from '../routes/route-rank.js';
import type { TimerService } from '../runtime/timer-service.js';
import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import type { Actor, VirtualTime } from '../soak/virtual-time.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { addArrivals } from './simulated-arrivals.js';
import { buildContacts, buildDataCentre } from './simulated-contacts.js';
import { createSimulatedEngine } from './simulated-engine.js';
import type { SimulatedEngine } from './simulated-engine.js';
import { createSimulatedInstance } from './simulated-instance.js';
import type { SimulatedInstance } from './simulated-instance.js';
import { createSimulatedNetwork } from './simulated-network.js';
import { createSimulatedNotices } from './simulated-notices.js';
import type { SimulatedNotice, SimulatedNotices } from './simulated-notices.js';
import { POOL, buildCall } from './simulated-routes.js';
import type { SimulatedRoute } from './simulated-routes.js';

/** A rate limit that one endpoint names from a time on. */
export interface NamedLimit {
  readonly endpoint: number;
  readonly perSecond: number;
  /** Relative to the start of arrivals. */
  readonly fromMs: number;
  /** @default never */
  readonly untilMs?: number;
}

export interface LimitSimulationOptions {
  readonly seed: number;
  readonly instances: number;
  readonly dataCentres: number;
  readonly endpoints: number;
  readonly limits: readonly NamedLimit[];
  /**
   * Endpoints that say that they are leaving or want rest; times are relative to the start of arrivals.
   * @default none
   */
  readonly notices?: readonly SimulatedNotice[];
  /**
   * Whether instances tell each other of these.
   * @default true
   */
  readonly areNoticesShared?: boolean;
  readonly routes: readonly SimulatedRoute[];
  /** Duration of arrivals. */
  readonly lengthMs: number;
  /**
   * Share of datagrams that are lost.
   * @default 0.01
   */
  readonly loss?: number;
  /** Instances that are killed, by the time relative to the start of arrivals. */
  readonly kills?: readonly { readonly instance: number; readonly atMs: number }[];
}

/** Requests that a limited endpoint got in the span of time in which it got most. */
export interface LimitedSpan {
  readonly endpoint: number;
  readonly requests: number;
  readonly allowed: number;
}

export interface SimulatedLimitedCall {
  readonly route: string;
  readonly receivedMs: number;
  end: 'whole' | 'refused' | 'failed' | 'none';
  retryAfterMs: number | undefined;
}

export interface LimitSimulationResult {
  /** The worst span of each limit, of requests from instances that were told before. */
  readonly spans: readonly LimitedSpan[];
  readonly calls: readonly SimulatedLimitedCall[];
  /** Requests by endpoint and second of arrival. */
  countArrivals(endpoint: number, fromMs: number, toMs: number): number;
  readonly datagrams: number;
  readonly notices: Omit<SimulatedNotices, 'open'>;
}

interface Arrival {
  readonly endpoint: number;
  readonly instance: string;
  readonly atMs: number;
}

const SPAN_MS = 4000;
/** Factor on the rate, and requests beyond it, that are allowed in a span. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_SLACK = 5;
/** Time after which an instance that has passed on a limit must keep to it. */
const TOLD_AFTER_MS = 500;
/** Time after the first naming of a limit from which requests are counted. */
const CONTACT_MS = 3000;
const SLOTS = 64;
const QUEUE_MAX = 128;
const WARM_UP_MS = 6000;
const DRAIN_MS = 6000;

interface Simulation {
  readonly options: LimitSimulationOptions;
  readonly time: VirtualTime;
  readonly random: Random;
  readonly engines: readonly SimulatedEngine[];
  readonly endpoints: readonly RegisteredEndpoint[];
  readonly calls: Map<string, RoutedCall>;
  readonly arrivals: Arrival[];
  readonly notices: SimulatedNotices;
  /** When each instance was first told of a limit, by endpoint and instance. */
  readonly toldMs: Map<string, number>;
}

function buildEndpoints({ endpoints, dataCentres }: LimitSimulationOptions): RegisteredEndpoint[] {
  return Array.from({ length: endpoints }, (_, index) => ({
    id: `engine-${index}`,
    startId: `engine-${index}@1`,
    pool: POOL,
    address: String(index),
    dataCentre: buildDataCentre(index, dataCentres),
    slots: SLOTS,
    isLeaving: false,
    isSpot: false,
    softwareVersion: 'v1',
  }));
}

function findLimit(simulation: Simulation, endpoint: number): NamedLimit | undefined {
  const nowMs = simulation.time.getNow() - WARM_UP_MS;
  return simulation.options.limits.find(
    (limit) =>
      limit.endpoint === endpoint && nowMs >= limit.fromMs && nowMs < (limit.untilMs ?? Infinity),
  );
}

/** Adds the limit that the endpoint names now to the head of its response. */
function addLimitHeader(
  simulation: Simulation,
  endpoint: number,
  instance: string,
  listener: ExchangeListener,
): ExchangeListener {
  return {
    ...listener,
    onHead(status, headers) {
      const limit = findLimit(simulation, endpoint);
      if (limit === undefined) return listener.onHead(status, headers);
      const key = `${endpoint}|${instance}`;
      if (!simulation.toldMs.has(key)) simulation.toldMs.set(key, simulation.time.getNow());
      return listener.onHead(status, [
        ...headers,
        { name: 'limit', value: String(limit.perSecond) },
      ]);
    },
  };
}

function createConnections(simulation: Simulation, instance: string): EndpointConnections {
  return {
    open(address, _connectionsMax, { target }, listener) {
      const endpoint = Number(address);
      const call = simulation.calls.get(target) as RoutedCall;
      const engine = simulation.engines[endpoint] as SimulatedEngine;
      simulation.arrivals.push({ endpoint, instance, atMs: simulation.time.getNow() });
      return simulation.notices.open(endpoint, instance, call.callId, listener, (noticed) =>
        engine.start(call, addLimitHeader(simulation, endpoint, instance, noticed)),
      );
    },
    closeIdle: () => undefined,
    countOpened: () => 0,
    close: () => Promise.resolve(),
  };
}

function createSink(result: SimulatedLimitedCall): CallSink {
  const setEnd = (end: SimulatedLimitedCall['end']): void => {
    if (result.end === 'none') result.end = end;
  };
  return {
    onHead: () => undefined,
    onEvent: () => undefined,
    onEnd: () => setEnd('whole'),
    onResponse: () => setEnd('failed'),
    onBroken: () => setEnd('failed'),
    onFailure(failure) {
      setEnd(failure.outcome === 'not_run' ? 'refused' : 'failed');
      result.retryAfterMs = failure.retryAfterMs;
    },
  };
}

/** Counts requests of told instances in the span that ends with each request, for one limit. */
function computeWorstSpan(simulation: Simulation, limit: NamedLimit): LimitedSpan {
  const { arrivals, toldMs } = simulation;
  const { endpoint, perSecond } = limit;
  const ofEndpoint = arrivals.filter((arrival) => arrival.endpoint === endpoint);
  const namedMs = ofEndpoint.reduce(
    (first, { instance }) => Math.min(first, toldMs.get(`${endpoint}|${instance}`) ?? Infinity),
    Infinity,
  );
  const untilMs = WARM_UP_MS + (limit.untilMs ?? Infinity);
  const countedMs = ofEndpoint
    .filter(({ instance, atMs }) => {
      const told = toldMs.get(`${endpoint}|${instance}`) ?? Infinity;
      return atMs >= namedMs + CONTACT_MS && atMs >= told + TOLD_AFTER_MS && atMs < untilMs;
    })
    .map(({ atMs }) => atMs);
  let requests = 0;
  let start = 0;
  countedMs.forEach((atMs, end) => {
    while ((countedMs[start] as number) < atMs - SPAN_MS) start += 1;
    requests = Math.max(requests, end - start + 1);
  });
  const allowed = ALLOWED_FACTOR * perSecond * (SPAN_MS / 1000) + ALLOWED_SLACK;
  return { endpoint, requests, allowed };
}

interface Fleet {
  readonly instances: readonly SimulatedInstance[];
  readonly actors: readonly Actor[];
  readonly timers: readonly TimerService[];
  countDatagrams(): number;
}

function startFleet(simulation: Simulation): Fleet {
  const { options, time, endpoints } = simulation;
  const network = createSimulatedNetwork(time, createRandom(options.seed + 1), {
    lossProbability: options.loss ?? 0.01,
  });
  const contacts = buildContacts(options.instances, options.dataCentres);
  const ranks = createRouteRanks(options.routes.map(({ route }) => route));
  const actors = contacts.map(({ name }) => createActor(name));
  const timers = actors.map((actor) => time.createTimers(actor, 0));
  const instances = contacts.map((self, index) => {
    const instance = createSimulatedInstance({
      self,
      contacts,
      timers: timers[index] as TimerService,
      random: createRandom(options.seed * 1000 + index),
      network,
      listOpen: () => endpoints,
      ranks,
      connections: createConnections(simulation, self.name),
      takeTrialLease: () => Promise.resolve(false),
      checkConnection: () => Promise.resolve(CONNECTION_RESULT.Accepted),
      onAttempt: () => undefined,
    });
    network.add(self.address, instance.exchange);
    network.addLimits(self.address, instance.limits);
    if (options.areNoticesShared !== false)
      network.addAvailability(self.address, instance.availability);
    return instance;
  });
  return { instances, actors, timers, countDatagrams: () => network.countSent() };
}

function startCall(
  simulation: Simulation,
  instance: SimulatedInstance,
  simulatedRoute: SimulatedRoute,
): SimulatedLimitedCall {
  const { time, calls, random } = simulation;
  const call = buildCall(simulatedRoute, `call-${calls.size}`, time.getNow(), random);
  calls.set(call.callId, call);
  const result: SimulatedLimitedCall = {
    route: simulatedRoute.route.name,
    receivedMs: time.getNow() - WARM_UP_MS,
    end: 'none',
    retryAfterMs: undefined,
  };
  instance.runner.run(call, createSink(result));
  return result;
}

export async function runLimitSimulation(
  options: LimitSimulationOptions,
): Promise<LimitSimulationResult> {
  const time = createVirtualTime();
  const endpoints = buildEndpoints(options);
  const simulation: Simulation = {
    options,
    time,
    random: createRandom(options.seed),
    engines: endpoints.map(() =>
      createSimulatedEngine(time, { slots: SLOTS, queueMax: QUEUE_MAX }),
    ),
    endpoints,
    notices: createSimulatedNotices(
      time,
      (options.notices ?? []).map((notice) => ({
        ...notice,
        fromMs: WARM_UP_MS + notice.fromMs,
        untilMs: WARM_UP_MS + notice.untilMs,
      })),
    ),
    calls: new Map(),
    arrivals: [],
    toldMs: new Map(),
  };
  const fleet = startFleet(simulation);
  await time.runUntil(WARM_UP_MS);
  for (const { instance, atMs } of options.kills ?? []) {
    time.add(undefined, atMs, () => {
      (fleet.actors[instance] as Actor).isDead = true;
    });
  }
  const results: SimulatedLimitedCall[] = [];
  for (const simulatedRoute of options.routes) {
    addArrivals({
      time,
      random: simulation.random,
      endMs: WARM_UP_MS + options.lengthMs,
      getRate: () => simulatedRoute.callsPerSecond,
      start() {
        const index = simulation.random.nextIndex(fleet.instances.length);
        if (fleet.actors[index]?.isDead === true) return;
        const instance = fleet.instances[index] as SimulatedInstance;
        results.push(startCall(simulation, instance, simulatedRoute));
      },
    });
  }
  await time.runUntil(WARM_UP_MS + options.lengthMs + DRAIN_MS);
  fleet.timers.forEach((timers) => timers.stop());
  return {
    spans: options.limits.map((limit) => computeWorstSpan(simulation, limit)),
    calls: results,
    countArrivals: (endpoint, fromMs, toMs) =>
      simulation.arrivals.filter(
        (arrival) =>
          arrival.endpoint === endpoint &&
          arrival.atMs >= WARM_UP_MS + fromMs &&
          arrival.atMs < WARM_UP_MS + toMs,
      ).length,
    datagrams: fleet.countDatagrams(),
    notices: simulation.notices,
  };
}
