/** Plays calls of several routes against simulated engines, in virtual time, through a real call runner. */
import type { CallSink, RoutedCall } from '../calls/call-messages.js';
import { createCallRunner } from '../calls/call-runner.js';
import type { CallRunner } from '../calls/call-runner.js';
import type { EndpointConnections } from '../calls/endpoint-connections.js';
import type { EndpointProtocol } from '../calls/endpoint-protocol.js';
import { createEndpointLoads } from '../placement/endpoint-loads.js';
import { createPlacer } from '../placement/placer.js';
import { createRouteStandings } from '../routes/route-standing.js';
import type { TimerService } from '../runtime/timer-service.js';
import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import type { VirtualTime } from '../soak/virtual-time.js';
import type { RegisteredEndpoint, Route } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { POOL, buildCall } from './played-routes.js';
import type { PlayedRoute } from './played-routes.js';
import { FULL_STATUS, createSimulatedEngine } from './simulated-engine.js';
import type { SimulatedEngine } from './simulated-engine.js';

/** A time in which more calls come. */
export interface PlayedBurst {
  readonly fromMs: number;
  readonly toMs: number;
  readonly factor: number;
}

/** What is played. */
export interface PlayOptions {
  readonly seed: number;
  readonly engines: number;
  readonly slots: number;
  readonly queueMax: number;
  readonly routes: readonly PlayedRoute[];
  readonly burst: PlayedBurst;
  readonly lengthMs: number;
}

/** What one caller saw. */
export interface PlayedCall {
  readonly route: string;
  readonly receivedMs: number;
  firstMs: number | undefined;
  end: 'whole' | 'refused' | 'left' | 'failed' | 'none';
}

/** A caller leaves an answer that does not begin within the longest of this, in milliseconds, and these multiples of what the route declares. */
const PATIENCE_MIN_MS = 2000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;
/** Time after the last arrival in which everything ends, in milliseconds. */
const REST_MS = 12_000;

/** What the parts of a play share. */
interface Play {
  readonly options: PlayOptions;
  readonly time: VirtualTime;
  readonly timers: TimerService;
  readonly random: Random;
  /** Calls by id: an exchange with an engine names its call only. */
  readonly calls: Map<string, RoutedCall>;
}

function computePatienceMs({ targetMs, gapTargetMs = 0 }: Route): number {
  return Math.max(PATIENCE_MIN_MS, targetMs * PATIENCE_TARGETS, gapTargetMs * PATIENCE_GAPS);
}

function buildEndpoints({ engines, slots }: PlayOptions): readonly RegisteredEndpoint[] {
  return Array.from({ length: engines }, (_, index) => {
    const id = `engine-${index + 1}`;
    return { id, startId: id, pool: POOL, address: id, dataCentre: 'a', slots, isLeaving: false };
  });
}

function createConnections(
  { options, time, calls }: Play,
  endpoints: readonly RegisteredEndpoint[],
): EndpointConnections {
  const engines = new Map<string, SimulatedEngine>();
  for (const { address } of endpoints) engines.set(address, createSimulatedEngine(time, options));
  return {
    open(address, _connectionsMax, { target }, listener) {
      const call = calls.get(target) as RoutedCall;
      return (engines.get(address) as SimulatedEngine).start(call, listener);
    },
    closeAll: () => undefined,
    countMade: () => 0,
    close: () => Promise.resolve(),
  };
}

const PROTOCOL: EndpointProtocol = {
  encode: ({ callId }) => ({ method: 'POST', target: callId, headers: [], body: Buffer.alloc(0) }),
  decode: (status, [callId]) => ({
    callId: callId?.value,
    isUnrun: status === FULL_STATUS,
    isWrongEndpoint: false,
    isSigned: true,
    isEventStream: true,
    headers: [],
  }),
};

function createRunner(play: Play): CallRunner {
  const { options, random, timers } = play;
  const loads = createEndpointLoads();
  const standings = createRouteStandings(options.routes.map(({ route }) => route));
  const endpoints = buildEndpoints(options);
  return createCallRunner({
    connections: createConnections(play, endpoints),
    protocol: PROTOCOL,
    loads,
    placer: createPlacer({
      loads,
      random,
      listOpen: () => endpoints,
      getStanding: (route, pool) => standings.get(route, pool),
      isCut: () => false,
    }),
    retryBounds: { windowMs: 10_000, ratio: 0.2, slack: 50 },
    timers,
    observer: {
      onAttempt: () => undefined,
      onAttemptEnded: () => undefined,
      onEnded: () => undefined,
    },
    listOpen: () => endpoints,
    findPool: () => undefined,
    countInstances: () => 1,
    checkSendable: () => undefined,
  });
}

/** Starts one call and its caller, who leaves an answer that is too late. */
function startCall(play: Play, runner: CallRunner, played: PlayedRoute): PlayedCall {
  const { time, calls } = play;
  const { route } = played;
  const receivedMs = time.getNow();
  const call = buildCall(played, `call-${calls.size}`, receivedMs, play.random);
  calls.set(call.callId, call);
  const result: PlayedCall = { route: route.name, receivedMs, firstMs: undefined, end: 'none' };
  const setEnd = (end: PlayedCall['end']): void => {
    if (result.end === 'none') result.end = end;
  };
  const sink: CallSink = {
    onHead: () => undefined,
    onEvent() {
      result.firstMs ??= time.getNow() - receivedMs;
    },
    onEnd: () => setEnd('whole'),
    onAnswer: () => setEnd('failed'),
    onBroken: () => setEnd('failed'),
    onFailure: () => setEnd('refused'),
  };
  const running = runner.run(call, sink);
  const leave = (): void => {
    if (result.end !== 'none') return;
    setEnd('left');
    running.close();
  };
  time.add(undefined, computePatienceMs(route), () => {
    if (result.firstMs === undefined) leave();
  });
  time.add(undefined, route.timeoutMs, leave);
  return result;
}

/** Lets the calls of a route arrive at random. */
function addArrivals(
  { options, time, random }: Play,
  played: PlayedRoute,
  start: () => void,
): void {
  const { fromMs, toMs, factor } = options.burst;
  const addNext = (): void => {
    const nowMs = time.getNow();
    if (nowMs >= options.lengthMs) return;
    const isBurst = nowMs >= fromMs && nowMs < toMs;
    const rate = played.callsPerSecond * (isBurst ? factor : 1);
    time.add(undefined, (-Math.log(1 - random.next()) * 1000) / rate, () => {
      start();
      addNext();
    });
  };
  addNext();
}

/** Plays it and returns what every caller saw. */
export async function runPlay(options: PlayOptions): Promise<readonly PlayedCall[]> {
  const time = createVirtualTime();
  const timers = time.createTimers(createActor('instance'), 0);
  const play: Play = {
    options,
    time,
    timers,
    random: createRandom(options.seed),
    calls: new Map(),
  };
  const runner = createRunner(play);
  const seen: PlayedCall[] = [];
  for (const played of options.routes) {
    addArrivals(play, played, () => seen.push(startCall(play, runner, played)));
  }
  await time.runUntil(options.lengthMs + REST_MS);
  timers.stop();
  return seen;
}
