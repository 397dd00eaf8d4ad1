/**
 * Places calls: where each goes, whether it waits here first, and what its start says of loads and sizes.
 * Free of I/O; the decisions themselves are in the modules beside it.
 */
import type { RoutedCall } from '../calls/call-messages.js';
import type { RouteStanding } from '../routes/route-standing.js';
import type { RegisteredEndpoint, Route } from '../types/traffic.js';
import type { Random } from '../utils/random.js';
import { chooseEndpoint } from './choose-endpoint.js';
import type { Placement } from './choose-endpoint.js';
import { ENDPOINT_VERDICT } from './endpoint-loads.js';
import type { EndpointLoads, LoadTicket } from './endpoint-loads.js';
import { ADMISSION, chooseAdmission } from './hold-back.js';
import type { Admission } from './hold-back.js';
import { createEngineReserves } from './engine-reserve.js';
import type { ReserveInput } from './engine-reserve.js';
import { createRouteSizes } from './route-sizes.js';
import type { StreamRecord } from './stream-times.js';

/** What a placer is built on. */
export interface PlacerOptions {
  readonly loads: EndpointLoads;
  readonly random: Random;
  readonly listOpen: (pool: string) => readonly RegisteredEndpoint[];
  /** Where a route stands among those whose streams come from the same pool. */
  readonly getStanding: (route: Route, pool: string) => RouteStanding;
  /** Whether a data centre is out of reach for now. */
  readonly isCut: (dataCentre: string) => boolean;
  /** Whether an endpoint is left to others as long as there is another. */
  readonly isAvoided: (endpoint: RegisteredEndpoint) => boolean;
}

/** Places the calls of one instance. */
export interface Placer {
  /**
   * Where a call goes that was tried at these endpoints; nothing where none may get it. `isAlone`: its
   * endpoint may end with it, so that it goes where least runs.
   */
  choose(
    call: RoutedCall,
    tried: readonly string[],
    isCrashSuspect: boolean,
    nowMs: number,
  ): Placement | undefined;
  /**
   * Whether the call goes to the endpoint it would go to, waits here or is turned away. What has begun
   * at another endpoint goes on like the most urgent: given up, what was delivered is of no use.
   */
  chooseAdmission(
    call: RoutedCall,
    placement: Placement,
    isBegun: boolean,
    nowMs: number,
  ): Admission;
  /** How long the call's first answer takes once it is sent to an engine with nothing else to read, in milliseconds; 0 while unknown. */
  predictAnswerMs(call: RoutedCall): number;
  /** The call is sent. */
  start(call: RoutedCall, placement: Placement, nowMs: number): LoadTicket;
}

function countTokens({ prompt }: RoutedCall): number {
  return (prompt?.parts ?? []).reduce((sum, { tokens }) => sum + tokens, 0);
}

const NO_ENGINES: ReadonlySet<string> = new Set();

/** Builds a placer that has placed nothing. */
export function createPlacer(options: PlacerOptions): Placer {
  const { loads } = options;
  const sizes = createRouteSizes();
  const reserves = createEngineReserves();

  /** Whether the call is of the most urgent of a pool that has others. */
  function isUrgent({ route, pool }: RoutedCall): boolean {
    const { rank, ranks } = options.getStanding(route, pool);
    return rank === 0 && ranks > 1;
  }

  /** The pause that the most urgent streams of the call's pool declare, in milliseconds; infinite where nobody comes after them. */
  function computeUrgentPauseMs({ route, pool }: RoutedCall): number {
    const { rank, ranks, urgentPauseMs } = options.getStanding(route, pool);
    if (ranks <= 1) return Infinity;
    return rank === 0 ? (route.gapTargetMs ?? Infinity) : urgentPauseMs;
  }

  /** Ids of the engines that are kept for the most urgent streams of the call's pool. */
  function chooseReserved(call: RoutedCall, nowMs: number): ReadonlySet<string> {
    const input: ReserveInput = {
      endpoints: options.listOpen(call.pool),
      countUrgent: (startId) => loads.get(startId).urgent,
      pauseMsPerCall: loads.getPoolPace(call.pool).pauseMsPerCall,
      urgentPauseMs: computeUrgentPauseMs(call),
    };
    return reserves.choose(call.pool, input, nowMs);
  }

  function computeReadMs(pool: string, tokens: number): number {
    return tokens * (loads.getPoolPace(pool).reading?.msPerToken ?? 0);
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

  return {
    choose(call, tried, isCrashSuspect, nowMs) {
      const { route, pool } = call;
      const prompt = isCrashSuspect ? undefined : call.prompt;
      const placement = chooseEndpoint({
        endpoints: options.listOpen(pool),
        isCut: options.isCut,
        isAvoided: options.isAvoided,
        prompt,
        excluded: tried,
        loads,
        random: options.random,
        targetMs: route.targetMs,
        isUrgent: isUrgent(call),
        reserved: prompt === undefined ? NO_ENGINES : chooseReserved(call, nowMs),
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
      const { running, urgent } = loads.get(endpoint.startId);
      const { slots } = endpoint;
      const { rank, ranks, urgentPauseMs, nextPauseMs } = options.getStanding(route, pool);
      const isIsolated = urgent === 0 && chooseReserved(call, nowMs).size > 0;
      return chooseAdmission({
        rank: isBegun ? 0 : rank,
        ranks,
        running,
        slots,
        isIsolated,
        pauseMs: loads.predictPauseMs(pool, Math.min(slots, running + 1), nowMs),
        urgentPauseMs: isIsolated ? nextPauseMs : urgentPauseMs,
        receivedMs: call.receivedMs,
        deadlineMs: call.deadlineMs,
        nowMs,
      });
    },
    predictAnswerMs({ route, pool }) {
      const { fixedMs = 0 } = loads.getPoolPace(pool).reading ?? {};
      return fixedMs + computeReadMs(pool, sizes.getMeanTokens(route, pool));
    },
    start(call, { endpoint, readTokens }, nowMs) {
      const { route, pool, prompt } = call;
      const isMostUrgent = isUrgent(call);
      const ticket = loads.start(endpoint, readTokens, nowMs, isMostUrgent);
      if (prompt === undefined) return ticket;
      reserves.recordPrompt(pool, isMostUrgent, readTokens);
      sizes.recordTokens(route, pool, readTokens);
      return {
        ...ticket,
        recordEnd(verdict, endedMs) {
          if (verdict === ENDPOINT_VERDICT.Good)
            recordStream(call, endpoint.id, ticket.getStream());
          ticket.recordEnd(verdict, endedMs);
        },
      };
    },
  };
}
