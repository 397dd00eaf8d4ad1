/**
 * Places the calls of one instance: chooses endpoints, decides on admission and records the loads
 * and sizes of calls that are sent. Performs no I/O.
 */
import type { RoutedCall } from '../calls/call-messages.js';
import type { RouteRank } from '../routes/route-rank.js';
import { FEATURE } from '../types/features.js';
import type { EnabledFeatures } from '../types/features.js';
import type { RegisteredEndpoint, Route } from '../types/traffic.js';
import type { Random } from '../utils/random.js';
import { ASSUMED_READ_SHARE, chooseEndpoint } from './choose-endpoint.js';
import type { Placement } from './choose-endpoint.js';
import { computePromptCost } from './prompt-cost.js';
import { ENDPOINT_VERDICT } from './endpoint-loads.js';
import type { EndpointLoads, LoadTicket } from './endpoint-loads.js';
import { LOAD_CLASS } from './load-class.js';
import type { LoadClass } from './load-class.js';
import { ADMISSION, chooseAdmission } from './admission-decision.js';
import type { Admission } from './admission-decision.js';
import { createEngineReserves } from './engine-reserve.js';
import type { ReserveInput } from './engine-reserve.js';
import { createEngineSpeeds } from './engine-speeds.js';
import { isLargePool } from './large-pool.js';
import { createPoolRooms } from './pool-room.js';
import type { RoomReading } from './pool-room.js';
import { createRouteSizes } from './route-sizes.js';
import type { StreamRecord } from './stream-times.js';

export interface PlacerOptions {
  readonly loads: EndpointLoads;
  readonly random: Random;
  /** Endpoints that make up the capacity of a pool. */
  readonly listOpen: (pool: string) => readonly RegisteredEndpoint[];
  /**
   * Endpoints of a pool that run calls, including those that are leaving.
   * @default listOpen
   */
  readonly listServing?: (pool: string) => readonly RegisteredEndpoint[];
  /**
   * Whether the loads that other instances put on the endpoints are known.
   * @default always
   */
  readonly knowsFleetLoad?: () => boolean;
  /** Rank of a route among the routes that stream from the pool. */
  readonly getRouteRank: (route: Route, pool: string) => RouteRank;
  /** Whether a data centre is currently unreachable. */
  readonly isDataCentreUnreachable: (dataCentre: string) => boolean;
  /** Whether an endpoint should be used only if there is no other. */
  readonly isAvoided: (endpoint: RegisteredEndpoint) => boolean;
  readonly features: EnabledFeatures;
  /**
   * Whether an engine has to read a shared prefix that it is expected to have cached, since it has
   * just started. Records that the prefix is sent there.
   * @default never
   */
  readonly takeColdPrefix?: (endpoint: RegisteredEndpoint, prefix: string) => boolean;
}

export interface Placer {
  /**
   * Returns to which of the endpoints a call is sent, or undefined if none may get it. `tried` holds
   * the ids of endpoints it was sent to before. A call suspected of crashing endpoints goes to the
   * least loaded one.
   */
  choose(
    call: RoutedCall,
    endpoints: readonly RegisteredEndpoint[],
    tried: readonly string[],
    isCrashSuspect: boolean,
    nowMs: number,
  ): Placement | undefined;
  /**
   * Decides whether the call is sent, waits or is refused. A call whose answer has begun at another
   * endpoint counts as most urgent, since a refusal would waste what was delivered.
   */
  chooseAdmission(
    call: RoutedCall,
    placement: Placement,
    isBegun: boolean,
    nowMs: number,
  ): Admission;
  /**
   * Predicted time from sending the call to an idle engine to its first event; 0 while unknown.
   */
  predictAnswerMs(call: RoutedCall): number;
  /** Upper estimate of the time from sending the call to the end of its answer. */
  predictRunMs(call: RoutedCall): number;
  /** Expected mean pause of streams at an engine if one more call runs there; undefined while unknown. */
  predictPauseMs(endpoint: RegisteredEndpoint, nowMs: number): number | undefined;
  /** What the more urgent calls of the pool left to the least urgent ones when that was last decided. */
  readRoom(pool: string): RoomReading;
  /** Records that the call is refused, since no engine has room for it. */
  recordRefused(call: RoutedCall, nowMs: number): void;
  /** Records that the call is sent. */
  start(call: RoutedCall, placement: Placement, nowMs: number): LoadTicket;
}

/** Factor on the mean run time of a route, so that most of its calls end within it. */
const RUN_TIME_FACTOR = 1.5;

function countTokens({ prompt }: RoutedCall): number {
  return (prompt?.parts ?? []).reduce((sum, { tokens }) => sum + tokens, 0);
}

const NO_ENGINES: ReadonlySet<string> = new Set();

export function createPlacer(options: PlacerOptions): Placer {
  const { loads } = options;
  const hasTiming = options.features.has(FEATURE.Timing);
  const sizes = createRouteSizes();
  const reserves = createEngineReserves();
  const rooms = createPoolRooms({
    loads,
    listServing: options.listServing ?? options.listOpen,
    knowsFleetLoad: options.knowsFleetLoad ?? (() => true),
  });
  const speeds = createEngineSpeeds((endpoint, nowMs) => loads.getSlowdown(endpoint, nowMs));

  /** Whether the call has the most urgent of several priorities in its pool. */
  function isUrgent({ route, pool }: RoutedCall): boolean {
    const { rank, ranks } = options.getRouteRank(route, pool);
    return rank === 0 && ranks > 1;
  }

  function getLoadClass({ route, pool }: RoutedCall): LoadClass {
    const { rank, ranks } = options.getRouteRank(route, pool);
    if (ranks <= 1) return LOAD_CLASS.Normal;
    if (rank === 0) return LOAD_CLASS.Urgent;
    return rank === ranks - 1 ? LOAD_CLASS.Preemptible : LOAD_CLASS.Normal;
  }

  /**
   * Pause declared by the most urgent streams of the call's pool; infinite if the pool has only one
   * priority.
   */
  function computeUrgentPauseMs({ route, pool }: RoutedCall): number {
    const { rank, ranks, urgentPauseMs } = options.getRouteRank(route, pool);
    if (ranks <= 1) return Infinity;
    return rank === 0 ? (route.gapTargetMs ?? Infinity) : urgentPauseMs;
  }

  /** Ids of engines reserved for the most urgent streams of the call's pool. */
  function chooseReserved(call: RoutedCall, nowMs: number): ReadonlySet<string> {
    const input: ReserveInput = {
      endpoints: options.listOpen(call.pool),
      countUrgent: (startId) => loads.get(startId).urgent,
      pauseMsPerCall: loads.getPoolTiming(call.pool).pauseMsPerCall,
      urgentPauseMs: computeUrgentPauseMs(call),
      ignoresOwnStreams: hasTiming,
    };
    return reserves.choose(call.pool, input, nowMs);
  }

  /** Whether the timing of each engine counts: in pools of which one instance sees only a part. */
  function isTimed(pool: string): boolean {
    return hasTiming && isLargePool(options.listOpen(pool).length);
  }

  function listSlow(pool: string, nowMs: number): ReadonlySet<string> {
    return isTimed(pool) ? speeds.listSlow(pool, options.listOpen(pool), nowMs) : NO_ENGINES;
  }

  function predictPauseMs(endpoint: RegisteredEndpoint, nowMs: number): number | undefined {
    const running = Math.min(endpoint.slots, loads.get(endpoint.startId).running + 1);
    return isTimed(endpoint.pool)
      ? loads.predictEnginePauseMs(endpoint, running, nowMs)
      : loads.predictPauseMs(endpoint.pool, running, nowMs);
  }

  function computeReadMs(pool: string, tokens: number): number {
    return tokens * (loads.getPoolTiming(pool).prefillSpeed?.msPerToken ?? 0);
  }

  /** Time in which an engine reads `unreadTokens`; guessed from the target until its speed is known. */
  function computeBacklogMs(call: RoutedCall, unreadTokens: number): number {
    const { route, pool } = call;
    const speed = loads.getPoolTiming(pool).prefillSpeed;
    if (speed !== undefined) return unreadTokens * speed.msPerToken;
    return (unreadTokens / Math.max(1, countTokens(call))) * route.targetMs * ASSUMED_READ_SHARE;
  }

  /** Guards against taking an engine whose cache is empty for a slow one. */
  function computeReadTokens(call: RoutedCall, { endpoint, readTokens }: Placement): number {
    if (call.prompt === undefined || options.takeColdPrefix === undefined) return readTokens;
    const { sharedPrefix, sharedTokens, ownTokens } = computePromptCost(call.prompt);
    const isCold = options.takeColdPrefix(endpoint, sharedPrefix);
    return isCold ? Math.max(readTokens, sharedTokens + ownTokens) : readTokens;
  }

  function recordStream(call: RoutedCall, endpoint: string, stream: StreamRecord): void {
    const { events, longestPause } = stream;
    sizes.recordEvents(call.route, call.pool, events);
    if (longestPause === undefined) return;
    reserves.recordStream(call.pool, {
      endpoint,
      longestPauseMs: longestPause.pauseMs,
      urgentPauseMs: computeUrgentPauseMs(call),
    });
  }

  /** Records what becomes of a call that is more urgent than the least urgent of its pool. */
  function recordOutcome(call: RoutedCall, isRefused: boolean, nowMs: number): void {
    if (call.prompt === undefined || getLoadClass(call) === LOAD_CLASS.Preemptible) return;
    rooms.recordMoreUrgent(call.pool, isRefused, nowMs);
  }

  return {
    predictPauseMs,
    readRoom: (pool) => rooms.read(pool),
    recordRefused: (call, nowMs) => recordOutcome(call, true, nowMs),
    choose(call, endpoints, tried, isCrashSuspect, nowMs) {
      const { route, pool } = call;
      const prompt = isCrashSuspect ? undefined : call.prompt;
      const placement = chooseEndpoint({
        endpoints,
        isDataCentreUnreachable: options.isDataCentreUnreachable,
        isAvoided: options.isAvoided,
        prompt,
        excluded: tried,
        loads,
        random: options.random,
        targetMs: route.targetMs,
        gapTargetMs: route.gapTargetMs ?? Infinity,
        isTimed: isTimed(pool),
        isUrgent: isUrgent(call),
        reserved: prompt === undefined ? NO_ENGINES : chooseReserved(call, nowMs),
        slow: prompt === undefined ? NO_ENGINES : listSlow(pool, nowMs),
        eventsExpected: sizes.getMeanEvents(route, pool),
        waitedShare: Math.min(1, (nowMs - call.receivedMs) / route.targetMs),
        nowMs,
      });
      if (placement === undefined || !isCrashSuspect) return placement;
      return { ...placement, readTokens: countTokens(call) };
    },
    chooseAdmission(call, { endpoint }, isBegun, nowMs) {
      const { route, pool } = call;
      if (call.prompt === undefined) return ADMISSION.Send;
      const load = loads.get(endpoint.startId);
      const { running, urgent, unreadTokens } = load;
      const { slots } = endpoint;
      const isPreemptible = getLoadClass(call) === LOAD_CLASS.Preemptible;
      const { rank, ranks, urgentPauseMs, nextPauseMs } = options.getRouteRank(route, pool);
      const isIsolated = urgent === 0 && chooseReserved(call, nowMs).size > 0;
      return chooseAdmission({
        rank: isBegun ? 0 : rank,
        ranks,
        running,
        slots,
        preemptible: isPreemptible ? 0 : load.preemptible,
        readsLessUrgent: !isPreemptible && load.preemptibleUnreadTokens > 0,
        backlogMs: computeBacklogMs(call, unreadTokens),
        poolRoom: rooms.get(pool, nowMs),
        targetMs: route.targetMs,
        isIsolated,
        pauseMs: predictPauseMs(endpoint, nowMs),
        urgentPauseMs: isIsolated ? nextPauseMs : urgentPauseMs,
        receivedMs: call.receivedMs,
        deadlineMs: call.deadlineMs,
        nowMs,
      });
    },
    predictAnswerMs({ route, pool }) {
      const { fixedMs = 0 } = loads.getPoolTiming(pool).prefillSpeed ?? {};
      return fixedMs + computeReadMs(pool, sizes.getMeanTokens(route, pool));
    },
    predictRunMs({ route, pool }) {
      return Math.max(route.targetMs, sizes.getMeanRunMs(route, pool) * RUN_TIME_FACTOR);
    },
    start(call, placement, nowMs) {
      const { route, pool, prompt } = call;
      const { endpoint } = placement;
      const readTokens = computeReadTokens(call, placement);
      const ticket = loads.start(endpoint, readTokens, nowMs, getLoadClass(call));
      recordOutcome(call, false, nowMs);
      if (prompt !== undefined) {
        reserves.recordPrompt(pool, isUrgent(call), readTokens);
        sizes.recordTokens(route, pool, readTokens);
      }
      return {
        ...ticket,
        recordEnd(verdict, endedMs) {
          if (verdict === ENDPOINT_VERDICT.Good) {
            sizes.recordRun(route, pool, endedMs - nowMs);
            if (prompt !== undefined) recordStream(call, endpoint.id, ticket.getStream());
          }
          ticket.recordEnd(verdict, endedMs);
        },
      };
    },
  };
}
