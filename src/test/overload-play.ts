/** Plays calls of several routes against simulated engines, in virtual time, through a real call runner. */
import type { CallSink, RoutedCall } from '../calls/call-messages.js';
import { createCallRunner } from '../calls/call-runner.js';
import type { EndpointConnections } from '../calls/endpoint-connections.js';
import { createEndpointLoads } from '../placement/endpoint-loads.js';
import { createPlacer } from '../placement/placer.js';
import { createRouteStandings } from '../routes/route-standing.js';
import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import { CALL_KIND } from '../types/traffic.js';
import type { RegisteredEndpoint, Route } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { createSimulatedEngine, FULL_STATUS } from './simulated-engine.js';
import type { SimulatedEngine } from './simulated-engine.js';

/** Calls of one route. */
export interface PlayedRoute {
  readonly route: Route;
  /** Prompt tokens that the calls of one of several kinds share, and each call's own. */
  readonly sharedTokens: number;
  readonly ownTokens: number;
  /** Mean tokens of an answer. */
  readonly answerTokens: number;
  readonly callsPerSecond: number;
}

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

const POOL = 'engines';
/** Kinds of calls with a shared part of their own, of each route. */
const SHARED_PARTS = 6;
/** A caller leaves an answer that does not begin within the longest of this, in milliseconds, and these multiples of what the route declares. */
const PATIENCE_MIN_MS = 2000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;
/** Answers are this many times their mean at least and at most. */
const SIZE_MIN = 0.4;
const SIZE_SPREAD = 1.2;
/** Time after the last arrival in which everything ends, in milliseconds. */
const REST_MS = 12_000;

/** Builds a route of model calls. */
export function buildPlayedRoute(name: string, route: Partial<Route>): Route {
  return {
    name,
    host: 'h',
    pathPrefix: `/${name}/`,
    kind: CALL_KIND.Stream,
    timeoutMs: 8000,
    targetMs: 500,
    gapTargetMs: 400,
    priority: 0,
    attemptsMax: 2,
    isPublic: true,
    pools: [{ pool: POOL, weight: 1 }],
    ...route,
  };
}

function buildCall(played: PlayedRoute, callId: string, receivedMs: number, random: Random) {
  const { route, sharedTokens, ownTokens, answerTokens } = played;
  const kind = random.nextIndex(SHARED_PARTS);
  const size = SIZE_MIN + random.next() * SIZE_SPREAD;
  const call: RoutedCall = {
    callId,
    route,
    pool: POOL,
    organisation: undefined,
    isKeyed: false,
    urgency: route.priority,
    prompt: {
      model: 'm',
      inputTokens: sharedTokens + ownTokens,
      outputTokensMax: Math.max(1, Math.round(answerTokens * size)),
      parts: [
        { id: `${route.name}-${kind}`, tokens: sharedTokens },
        { id: callId, tokens: ownTokens },
      ],
    },
    payload: { method: 'POST', target: '/', headers: [], body: Buffer.alloc(0) },
    lastEventId: undefined,
    receivedMs,
    deadlineMs: receivedMs + route.timeoutMs,
  };
  return call;
}

function computePatienceMs({ targetMs, gapTargetMs = 0 }: Route): number {
  return Math.max(PATIENCE_MIN_MS, targetMs * PATIENCE_TARGETS, gapTargetMs * PATIENCE_GAPS);
}

/** Plays it and returns what every caller saw. */
export async function runPlay(options: PlayOptions): Promise<readonly PlayedCall[]> {
  const time = createVirtualTime();
  const timers = time.createTimers(createActor('instance'), 0);
  const random = createRandom(options.seed);
  const loads = createEndpointLoads();
  const standings = createRouteStandings(options.routes.map(({ route }) => route));
  const engines = new Map<string, SimulatedEngine>();
  const callsUnderWay = new Map<string, RoutedCall>();
  const endpoints: RegisteredEndpoint[] = Array.from({ length: options.engines }, (_, index) => {
    const id = `engine-${index + 1}`;
    engines.set(id, createSimulatedEngine(time, options));
    return {
      id,
      startId: id,
      pool: POOL,
      address: id,
      dataCentre: 'a',
      slots: options.slots,
      isLeaving: false,
    };
  });

  const connections: EndpointConnections = {
    open(address, _connectionsMax, { target }, listener) {
      const call = callsUnderWay.get(target) as RoutedCall;
      return (engines.get(address) as SimulatedEngine).start(call, listener);
    },
    closeAll: () => undefined,
    countMade: () => 0,
    close: () => Promise.resolve(),
  };
  const runner = createCallRunner({
    connections,
    protocol: {
      encode: ({ callId }) => ({
        method: 'POST',
        target: callId,
        headers: [],
        body: Buffer.alloc(0),
      }),
      decode: (status, [callId]) => ({
        callId: callId?.value,
        isUnrun: status === FULL_STATUS,
        isWrongEndpoint: false,
        isSigned: true,
        isEventStream: true,
        headers: [],
      }),
    },
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

  const seen: PlayedCall[] = [];

  function startCall(played: PlayedRoute): void {
    const receivedMs = time.getNow();
    const call = buildCall(played, `call-${seen.length}`, receivedMs, random);
    callsUnderWay.set(call.callId, call);
    const result: PlayedCall = {
      route: played.route.name,
      receivedMs,
      firstMs: undefined,
      end: 'none',
    };
    seen.push(result);
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
    time.add(undefined, computePatienceMs(played.route), () => {
      if (result.firstMs === undefined) leave();
    });
    time.add(undefined, played.route.timeoutMs, leave);
  }

  function addArrivals(played: PlayedRoute): void {
    const { fromMs, toMs, factor } = options.burst;
    const addNext = (): void => {
      const nowMs = time.getNow();
      if (nowMs >= options.lengthMs) return;
      const isBurst = nowMs >= fromMs && nowMs < toMs;
      const rate = played.callsPerSecond * (isBurst ? factor : 1);
      time.add(undefined, (-Math.log(1 - random.next()) * 1000) / rate, () => {
        startCall(played);
        addNext();
      });
    };
    addNext();
  }

  options.routes.forEach(addArrivals);
  await time.runUntil(options.lengthMs + REST_MS);
  timers.stop();
  return seen;
}
