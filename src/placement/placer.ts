/**
 * Places calls: where each goes, whether it waits here first, and what its start and end say of loads
 * and demand. Free of I/O; the decisions themselves are in the modules beside it.
 */
import type { RoutedCall } from '../calls/call-messages.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { Random } from '../utils/random.js';
import { chooseEndpoint } from './choose-endpoint.js';
import type { Placement } from './choose-endpoint.js';
import type { EndpointLoads, LoadTicket } from './endpoint-loads.js';
import { computePromptCost } from './engine-model.js';
import { isHeldBack } from './hold-back.js';
import type { ReadingDemand } from './reading-demand.js';
import { PROMPT_ROLE, createPromptRoles, listLongEngines } from './split-engines.js';
import type { PromptRole } from './split-engines.js';

/** The split of a pool is computed anew after this long, in milliseconds: demand is told as often, and each choice asks for it. */
const SPLIT_MAX_AGE_MS = 100;

/** What a placer is built on. */
export interface PlacerOptions {
  readonly loads: EndpointLoads;
  readonly demand: ReadingDemand;
  readonly random: Random;
  readonly listOpen: (pool: string) => readonly RegisteredEndpoint[];
  /** Whether a data centre is out of reach for now. */
  readonly isCut: (dataCentre: string) => boolean;
}

/** Places the calls of one instance. */
export interface Placer {
  /** A call arrived; the returned function is called at its end. Counted from then, so that calls which wait here ask for engines too. */
  recordArrival(call: RoutedCall, nowMs: number): () => void;
  /** Where a call goes that was tried at these endpoints; nothing where none may get it. */
  choose(call: RoutedCall, tried: readonly string[], nowMs: number): Placement | undefined;
  /** Whether the call waits here rather than at the endpoint it would go to. */
  isHeld(call: RoutedCall, placement: Placement, nowMs: number): boolean;
  /** How long the call's first answer takes once it is sent to an engine with nothing else to read, in milliseconds; 0 while unknown. */
  predictAnswerMs(call: RoutedCall): number;
  /** The call is sent. */
  start(call: RoutedCall, placement: Placement, nowMs: number): LoadTicket;
}

interface Split {
  readonly engines: ReadonlySet<string>;
  readonly endpoints: readonly RegisteredEndpoint[];
  readonly computedMs: number;
}

const NO_ENGINES: ReadonlySet<string> = new Set();

/** Builds a placer that has placed nothing. */
export function createPlacer(options: PlacerOptions): Placer {
  const { loads, demand } = options;
  const roles = createPromptRoles();
  const splits = new Map<string, Split>();

  function findRole({ route, pool }: RoutedCall): PromptRole {
    return roles.find(route, pool);
  }

  /** Looks anew at which engines in reach long prompts are kept on, the same on all instances that hear the same. */
  function updateSplit(pool: string, nowMs: number): Split {
    const endpoints = options.listOpen(pool);
    const pace = loads.getPoolPace(pool);
    demand.setReadingPause(pool, pace.readingPauseMs);
    const asked = demand.get(pool, nowMs);
    roles.update(pool, pace, asked.readingPauseMs);
    const near = endpoints.filter(({ dataCentre }) => !options.isCut(dataCentre));
    const engines = roles.isSplit(pool) ? listLongEngines(near, asked) : NO_ENGINES;
    const split: Split = { engines, endpoints, computedMs: nowMs };
    splits.set(pool, split);
    return split;
  }

  function getLongEngines(pool: string, nowMs: number): ReadonlySet<string> {
    const known = splits.get(pool);
    const isCurrent =
      known?.endpoints === options.listOpen(pool) && nowMs - known.computedMs < SPLIT_MAX_AGE_MS;
    return (known !== undefined && isCurrent ? known : updateSplit(pool, nowMs)).engines;
  }

  function computeReadMs(pool: string, tokens: number): number {
    return tokens * (loads.getPoolPace(pool).reading?.msPerToken ?? 0);
  }

  return {
    recordArrival(call, nowMs) {
      const { route, pool, prompt } = call;
      if (prompt === undefined) return () => undefined;
      roles.record(route, pool, computePromptCost(prompt).ownTokens);
      const isLong = findRole(call) === PROMPT_ROLE.Long;
      const readMs = computeReadMs(pool, roles.getMeanTokens(route, pool));
      return demand.start(pool, { isLong, readMs, promptTokens: prompt.inputTokens }, nowMs);
    },
    choose(call, tried, nowMs) {
      const { route, pool, prompt } = call;
      const role = prompt === undefined ? PROMPT_ROLE.Plain : findRole(call);
      return chooseEndpoint({
        endpoints: options.listOpen(pool),
        isCut: options.isCut,
        prompt,
        excluded: tried,
        loads,
        random: options.random,
        role,
        longEngines: getLongEngines(pool, nowMs),
        targetMs: route.targetMs,
        waitedShare: Math.min(1, (nowMs - call.receivedMs) / route.targetMs),
        nowMs,
      });
    },
    isHeld(call, { endpoint, readTokens }, nowMs) {
      if (call.prompt === undefined) return false;
      const { running, unreadTokens } = loads.get(endpoint.startId);
      const slowness = loads.computeSlowness(endpoint, nowMs);
      return isHeldBack({
        priority: call.route.priority,
        isApart: findRole(call) === PROMPT_ROLE.Long,
        readMs: computeReadMs(call.pool, readTokens) * slowness,
        unreadMs: computeReadMs(call.pool, unreadTokens) * slowness,
        shortestTargetMs: roles.findShortestTarget(call.pool) ?? call.route.targetMs,
        running,
        slots: endpoint.slots,
        receivedMs: call.receivedMs,
        deadlineMs: call.deadlineMs,
        nowMs,
      });
    },
    predictAnswerMs({ route, pool }) {
      const { fixedMs = 0 } = loads.getPoolPace(pool).reading ?? {};
      return fixedMs + computeReadMs(pool, roles.getMeanTokens(route, pool));
    },
    start(call, { endpoint, readTokens }, nowMs) {
      return loads.start(endpoint, readTokens, nowMs);
    },
  };
}
