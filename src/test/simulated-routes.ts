/** Routes of model calls, and calls with random sizes for them. */
import type { RoutedCall } from '../calls/call-messages.js';
import { CALL_KIND } from '../types/traffic.js';
import type { Route } from '../types/traffic.js';
import type { Random } from '../utils/random.js';

/** A route and the distribution of its calls. */
export interface SimulatedRoute {
  readonly route: Route;
  /** Prompt tokens of the prefix that a call shares with others. */
  readonly sharedTokens: number;
  /** Prompt tokens that only this call has. */
  readonly ownTokens: number;
  /** Mean output tokens of a call. */
  readonly outputTokens: number;
  readonly callsPerSecond: number;
  /**
   * Distinct shared prefixes among the calls.
   * @default 6
   */
  readonly sharedPrefixes?: number;
}

export const POOL = 'engines';
const DEFAULT_SHARED_PREFIXES = 6;
/** Output length relative to the mean, uniform between the minimum and the minimum plus the spread. */
const OUTPUT_FACTOR_MIN = 0.4;
const OUTPUT_FACTOR_SPREAD = 1.2;

export function buildSimulatedRoute(name: string, route: Partial<Route>): Route {
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

/** Builds a call of a route with a random output length and shared prefix. */
export function buildCall(
  simulatedRoute: SimulatedRoute,
  callId: string,
  receivedMs: number,
  random: Random,
): RoutedCall {
  const {
    route,
    sharedTokens,
    ownTokens,
    outputTokens,
    sharedPrefixes = DEFAULT_SHARED_PREFIXES,
  } = simulatedRoute;
  const prefixIndex = random.nextIndex(sharedPrefixes);
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
      outputTokensMax: Math.max(1, Math.round(outputTokens * outputFactor)),
      parts: [
        { id: `${route.name}-${prefixIndex}`, tokens: sharedTokens },
        { id: callId, tokens: ownTokens },
      ],
    },
    payload: { method: 'POST', target: '/', headers: [], body: Buffer.alloc(0) },
    lastEventId: undefined,
    resumedCallId: undefined,
    receivedMs,
    deadlineMs: receivedMs + route.timeoutMs,
  };
}

export interface RouteMix {
  readonly engines: number;
  /** The gap target of the lookup route. */
  readonly lookupGapTargetMs: number;
  /** Distinct shared prefixes of each route. */
  readonly sharedPrefixes: number;
}

/** Builds a mix of lookups, drafts and long histories that loads the engines to about a third. */
export function buildMixedRoutes({
  engines,
  lookupGapTargetMs,
  sharedPrefixes,
}: RouteMix): readonly SimulatedRoute[] {
  return [
    {
      route: buildSimulatedRoute('lookup', {
        priority: 0,
        targetMs: 250,
        gapTargetMs: lookupGapTargetMs,
        timeoutMs: 8000,
      }),
      sharedTokens: 350,
      ownTokens: 1110,
      outputTokens: 170,
      callsPerSecond: 1.4 * engines,
      sharedPrefixes,
    },
    {
      route: buildSimulatedRoute('draft', {
        priority: 1,
        targetMs: 400,
        gapTargetMs: 250,
        timeoutMs: 4000,
      }),
      sharedTokens: 6300,
      ownTokens: 2890,
      outputTokens: 50,
      callsPerSecond: engines,
      sharedPrefixes,
    },
    {
      route: buildSimulatedRoute('history', {
        priority: 2,
        targetMs: 1500,
        gapTargetMs: 600,
        timeoutMs: 8000,
      }),
      sharedTokens: 13_300,
      ownTokens: 3720,
      outputTokens: 120,
      callsPerSecond: 2.8 * engines,
      sharedPrefixes,
    },
  ];
}
