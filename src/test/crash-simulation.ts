/** Simulates a fleet that gets requests which crash the engine running them, beside ordinary calls. */
import type { CallSink, RoutedCall } from '../calls/call-messages.js';
import type { ContentId } from '../calls/content-id.js';
import { createRouteRanks } from '../routes/route-rank.js';
import type { TimerService } from '../runtime/timer-service.js';
import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import type { VirtualTime } from '../soak/virtual-time.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { createCrashingEngines } from './crashing-engines.js';
import type { CrashingEngines, CulpritSend } from './crashing-engines.js';
import { addArrivals } from './simulated-arrivals.js';
import { buildContacts } from './simulated-contacts.js';
import { createSimulatedInstance } from './simulated-instance.js';
import type { SimulatedInstance } from './simulated-instance.js';
import { createSimulatedTrialLeases } from './simulated-trial-leases.js';
import { createSimulatedNetwork } from './simulated-network.js';
import { buildCall } from './simulated-routes.js';
import type { SimulatedRoute } from './simulated-routes.js';

/** A request that clients send repeatedly, each time with a new call ID. */
export interface RepeatedRequest {
  readonly content: ContentId;
  readonly simulatedRoute: SimulatedRoute;
  /** Whether it crashes engines. */
  readonly isCulprit: boolean;
  /** Arrival times relative to the start of arrivals. Equal times go to different instances. */
  readonly atMs: readonly number[];
}

/** Calls that share parts of their prompts and are alike in nothing else. */
export interface PartTraffic {
  readonly simulatedRoute: SimulatedRoute;
  /** Chooses the parts of a call's prompt but the last. */
  readonly chooseParts: (random: Random) => readonly string[];
  /** Relative to the start of arrivals. @default the whole time */
  readonly fromMs?: number;
  readonly toMs?: number;
}

export interface CrashSimulationOptions {
  readonly seed: number;
  readonly instances: number;
  readonly engines: number;
  readonly dataCentres: number;
  readonly repeats: readonly RepeatedRequest[];
  /** Ordinary calls. */
  readonly routes: readonly SimulatedRoute[];
  readonly partTraffic?: readonly PartTraffic[];
  /** Parts that crash engines. */
  readonly culpritParts?: readonly string[];
  /** Crashes that no request causes. */
  readonly crashes?: readonly { readonly atMs: number; readonly engine: number }[];
  readonly lengthMs: number;
}

/** The result of a call as its caller sees it. */
export interface ObservedCall {
  readonly content: ContentId;
  /** Parts of the prompt but the last. */
  readonly parts: readonly string[];
  readonly receivedMs: number;
  end: 'whole' | 'refused' | 'failed' | 'none';
  retryAfterMs: number | undefined;
}

export interface CrashSimulationResult {
  readonly calls: readonly ObservedCall[];
  readonly sends: readonly CulpritSend[];
  readonly crashes: CrashingEngines['crashes'];
}

const SLOTS = 64;
const QUEUE_MAX = 64;
/** Time for the instances to discover each other before calls arrive. */
const WARM_UP_MS = 4000;
/** Time after the last arrival for running calls to end. */
const DRAIN_MS = 10_000;

interface Simulation {
  readonly options: CrashSimulationOptions;
  readonly time: VirtualTime;
  readonly random: Random;
  readonly calls: Map<string, RoutedCall>;
  readonly instances: readonly SimulatedInstance[];
  readonly timers: readonly TimerService[];
  readonly pool: CrashingEngines;
  readonly observedCalls: ObservedCall[];
}

function createSimulation(options: CrashSimulationOptions): Simulation {
  const time = createVirtualTime();
  const random = createRandom(options.seed);
  const calls = new Map<string, RoutedCall>();
  const instances: SimulatedInstance[] = [];
  const timers: TimerService[] = [];
  let registered: readonly RegisteredEndpoint[] = [];
  const pool = createCrashingEngines({
    time,
    engines: options.engines,
    slots: SLOTS,
    queueMax: QUEUE_MAX,
    dataCentres: options.dataCentres,
    culprits: new Set(
      options.repeats.filter(({ isCulprit }) => isCulprit).map(({ content }) => content),
    ),
    culpritParts: new Set(options.culpritParts),
    calls,
    onRegistered(endpoint) {
      registered = [...registered, endpoint];
    },
    onRemoved(endpoint) {
      registered = registered.filter((other) => other !== endpoint);
      for (const { quarantine } of instances) quarantine.recordEnded(endpoint);
    },
  });
  const leases = createSimulatedTrialLeases(time);
  const network = createSimulatedNetwork(time, createRandom(options.seed + 1));
  const contacts = buildContacts(options.instances, options.dataCentres);
  const ranks = createRouteRanks(
    [
      ...options.routes,
      ...options.repeats.map(({ simulatedRoute }) => simulatedRoute),
      ...(options.partTraffic ?? []).map(({ simulatedRoute }) => simulatedRoute),
    ].map(({ route }) => route),
  );
  contacts.forEach((self, index) => {
    const instanceTimers = time.createTimers(createActor(self.name), 0);
    timers.push(instanceTimers);
    const instance = createSimulatedInstance({
      self,
      contacts,
      timers: instanceTimers,
      random: createRandom(options.seed * 1000 + index),
      network,
      listOpen: () => registered,
      ranks,
      connections: pool.connections,
      takeTrialLease: leases.take,
      checkConnection: (address) => pool.checkConnection(address),
      onAttempt: () => undefined,
    });
    network.add(self.address, instance.exchange);
    instances.push(instance);
  });
  return { options, time, random, calls, instances, timers, pool, observedCalls: [] };
}

function createSink(result: ObservedCall): CallSink {
  const setEnd = (end: ObservedCall['end']): void => {
    result.end = end;
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

function setParts(call: RoutedCall, parts: readonly string[] | undefined): RoutedCall {
  const { prompt } = call;
  const last = prompt?.parts.at(-1);
  if (prompt === undefined || last === undefined || parts === undefined) return call;
  const tokens = Math.round((prompt.inputTokens - last.tokens) / Math.max(1, parts.length));
  return { ...call, prompt: { ...prompt, parts: [...parts.map((id) => ({ id, tokens })), last] } };
}

function startCall(
  simulation: Simulation,
  instance: number,
  simulatedRoute: SimulatedRoute,
  content: ContentId | undefined,
  parts?: readonly string[],
): void {
  const { time, random, calls, instances, observedCalls } = simulation;
  const callId = `call-${calls.size}`;
  const built = buildCall(simulatedRoute, callId, time.getNow(), random);
  const call: RoutedCall = { ...setParts(built, parts), contentId: content ?? callId };
  calls.set(callId, call);
  const result: ObservedCall = {
    content: call.contentId,
    parts: call.prompt?.parts.slice(0, -1).map(({ id }) => id) ?? [],
    receivedMs: time.getNow() - WARM_UP_MS,
    end: 'none',
    retryAfterMs: undefined,
  };
  observedCalls.push(result);
  (instances[instance % instances.length] as SimulatedInstance).runner.run(
    call,
    createSink(result),
  );
}

/** Copies with the same arrival time go to consecutive instances. */
function addRepeats(
  simulation: Simulation,
  { atMs, simulatedRoute, content }: RepeatedRequest,
): void {
  const { time, random, instances } = simulation;
  let instance = 0;
  atMs.forEach((ms, index) => {
    if (ms !== atMs[index - 1]) instance = random.nextIndex(instances.length);
    else instance += 1;
    const chosen = instance;
    time.add(undefined, ms, () => startCall(simulation, chosen, simulatedRoute, content));
  });
}

export async function runCrashSimulation(
  options: CrashSimulationOptions,
): Promise<CrashSimulationResult> {
  const simulation = createSimulation(options);
  const { time, random, instances, pool, timers, observedCalls } = simulation;
  await time.runUntil(WARM_UP_MS);
  for (const simulatedRoute of options.routes) {
    addArrivals({
      time,
      random,
      endMs: WARM_UP_MS + options.lengthMs,
      getRate: () => simulatedRoute.callsPerSecond,
      start: () =>
        startCall(simulation, random.nextIndex(instances.length), simulatedRoute, undefined),
    });
  }
  for (const { simulatedRoute, chooseParts, fromMs = 0, toMs = Infinity } of options.partTraffic ??
    []) {
    const isTime = (): boolean => {
      const sinceMs = time.getNow() - WARM_UP_MS;
      return sinceMs >= fromMs && sinceMs < toMs;
    };
    addArrivals({
      time,
      random,
      endMs: WARM_UP_MS + options.lengthMs,
      getRate: () => simulatedRoute.callsPerSecond,
      start() {
        const instance = random.nextIndex(instances.length);
        if (isTime())
          startCall(simulation, instance, simulatedRoute, undefined, chooseParts(random));
      },
    });
  }
  for (const repeat of options.repeats) addRepeats(simulation, repeat);
  for (const { atMs, engine } of options.crashes ?? []) {
    time.add(undefined, atMs, () => pool.crash(engine));
  }
  await time.runUntil(WARM_UP_MS + options.lengthMs + DRAIN_MS);
  timers.forEach((instanceTimers) => instanceTimers.stop());
  const { sends, crashes } = pool;
  return { calls: observedCalls, sends, crashes };
}
