/** Routes of model calls and the calls that are played of them. */
import type { RoutedCall } from '../calls/call-messages.js';
import { CALL_KIND } from '../types/traffic.js';
import type { Route } from '../types/traffic.js';
import type { Random } from '../utils/random.js';

/** Calls of one route. */
export interface PlayedRoute {
  readonly route: Route;
  /** Prompt tokens that the calls of one of several kinds share, and each call's own. */
  readonly sharedTokens: number;
  readonly ownTokens: number;
  /** Mean tokens of an answer. */
  readonly answerTokens: number;
  readonly callsPerSecond: number;
  /**
   * Kinds of calls, each with a shared part of its own.
   * @default 6
   */
  readonly sharedParts?: number;
}

/** The pool that all of them go to. */
export const POOL = 'engines';
/** Kinds of calls of each route where none are given. */
const DEFAULT_SHARED_PREFIXES = 6;
/** Answers are this many times their mean at least and at most. */
const OUTPUT_FACTOR_MIN = 0.4;
const OUTPUT_FACTOR_SPREAD = 1.2;
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

/** Builds the next call of a route, of random size and over one of the shared parts. */
export function buildCall(
  simulatedRoute: PlayedRoute,
  callId: string,
  receivedMs: number,
  random: Random,
): RoutedCall {
  const {
    route,
    sharedTokens,
    ownTokens,
    answerTokens,
    sharedParts = DEFAULT_SHARED_PREFIXES,
  } = simulatedRoute;
  const prefixIndex = random.nextIndex(sharedParts);
  const outputFactor = OUTPUT_FACTOR_MIN + random.next() * OUTPUT_FACTOR_SPREAD;
  return {
    callId,
    contentId: callId,
    route,
    pool: POOL,
    organisation: undefined,
    isAuthenticated: false,
    urgency: route.priority,
    prompt: {
      model: 'm',
      inputTokens: sharedTokens + ownTokens,
      outputTokensMax: Math.max(1, Math.round(answerTokens * outputFactor)),
      parts: [
        { id: `${route.name}-${prefixIndex}`, tokens: sharedTokens },
        { id: callId, tokens: ownTokens },
      ],
    },
    payload: { method: 'POST', target: '/', headers: [], body: Buffer.alloc(0) },
    lastEventId: undefined,
    receivedMs,
    deadlineMs: receivedMs + route.timeoutMs,
  };
}

/** A mix of routes before a pool of engines. */
export interface RouteMix {
  readonly engines: number;
  /** The pause that lookups declare, in milliseconds. */
  readonly lookupGapMs: number;
  /** Kinds of calls of each route: far more than engines, as histories are. */
  readonly sharedParts: number;
}

/** Lookups, drafts and long histories, as many as keep the engines a third full. */
export function buildMixedRoutes({
  engines,
  lookupGapMs,
  sharedParts,
}: RouteMix): readonly PlayedRoute[] {
  return [
    {
      route: buildPlayedRoute('lookup', {
        priority: 0,
        targetMs: 250,
        gapTargetMs: lookupGapMs,
        timeoutMs: 8000,
      }),
      sharedTokens: 350,
      ownTokens: 1110,
      answerTokens: 170,
      callsPerSecond: 1.4 * engines,
      sharedParts,
    },
    {
      route: buildPlayedRoute('draft', {
        priority: 1,
        targetMs: 400,
        gapTargetMs: 250,
        timeoutMs: 4000,
      }),
      sharedTokens: 6300,
      ownTokens: 2890,
      answerTokens: 50,
      callsPerSecond: engines,
      sharedParts,
    },
    {
      route: buildPlayedRoute('history', {
        priority: 2,
        targetMs: 1500,
        gapTargetMs: 600,
        timeoutMs: 8000,
      }),
      sharedTokens: 13_300,
      ownTokens: 3720,
      answerTokens: 120,
      callsPerSecond: 2.8 * engines,
      sharedParts,
    },
  ];
}
