/** Measures how the cost of an endpoint choice grows with the endpoints of the pool. */
import type { RoutedCall } from '../calls/call-messages.js';
import { createEndpointLoads } from '../placement/endpoint-loads.js';
import { LOAD_CLASS } from '../placement/load-class.js';
import type { EndpointLoads } from '../placement/endpoint-loads.js';
import { createPlacer } from '../placement/placer.js';
import { CALL_KIND } from '../types/traffic.js';
import { ALL_FEATURES } from '../types/features.js';
import type { RegisteredEndpoint, Route } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import { buildSlope, computeMicroseconds } from './measure.js';
import type { Slope } from './measure.js';

const ENDPOINT_SIZES = [14, 42, 100] as const;
const INSTANCES = 300;
const DATA_CENTRES = 5;
const SLOTS = 64;
/** Calls that an instance runs: with these, half of the slots of 100 endpoints are in use. */
const CALLS_PER_INSTANCE = 10;
const EVENTS_PER_CALL = 4;
const EVENT_MS = 40;
const PROMPT_TOKENS = 4000;
/** So short that all endpoints are compared: a busy home costs more than reading the prefix elsewhere. */
const PREFIX_TOKENS = 64;
const PREFIXES = 200;
const TIMES = 2000;
const POOL = 'models';

const ROUTE: Route = {
  name: 'history',
  host: 'h',
  pathPrefix: '/',
  kind: CALL_KIND.Stream,
  timeoutMs: 8000,
  targetMs: 1500,
  gapTargetMs: 600,
  priority: 1,
  attemptsMax: 2,
  isPublic: true,
  pools: [{ pool: POOL, weight: 1 }],
};

function buildEndpoints(count: number): readonly RegisteredEndpoint[] {
  return Array.from({ length: count }, (_, index) => {
    const id = `engine-${index}`;
    return {
      id,
      startId: id,
      pool: POOL,
      address: id,
      dataCentre: `dc-${index % DATA_CENTRES}`,
      slots: SLOTS,
      isLeaving: false,
      isSpot: false,
      softwareVersion: 'v1',
    };
  });
}

function buildCall(index: number): RoutedCall {
  const callId = `call-${index}`;
  return {
    callId,
    contentId: callId,
    route: ROUTE,
    pool: POOL,
    organisation: undefined,
    isAuthenticated: false,
    urgency: ROUTE.priority,
    prompt: {
      model: 'm',
      inputTokens: PREFIX_TOKENS + PROMPT_TOKENS,
      outputTokensMax: 100,
      parts: [
        { id: `prefix-${index % PREFIXES}`, tokens: PREFIX_TOKENS },
        { id: callId, tokens: PROMPT_TOKENS },
      ],
    },
    payload: { method: 'POST', target: '/', headers: [], body: Buffer.alloc(0) },
    lastEventId: undefined,
    resumedCallId: undefined,
    receivedMs: 0,
    deadlineMs: ROUTE.timeoutMs,
  };
}

/** Starts the calls of one instance; each has got some events of its answer. */
function addCalls(
  loads: EndpointLoads,
  endpoints: readonly RegisteredEndpoint[],
  instance: number,
): void {
  for (let call = 0; call < CALLS_PER_INSTANCE; call += 1) {
    const index = (instance * CALLS_PER_INSTANCE + call) % endpoints.length;
    const ticket = loads.start(
      endpoints[index] as RegisteredEndpoint,
      PROMPT_TOKENS * (1 + (call % 3)),
      0,
      call % 4 === 0 ? LOAD_CLASS.Urgent : LOAD_CLASS.Normal,
    );
    for (let event = 1; event <= EVENTS_PER_CALL; event += 1) {
      ticket.recordEvent(event * EVENT_MS * (1 + (index % 3)));
    }
  }
}

/** Microseconds of one choice among `count` endpoints. */
function computeChoice(count: number): number {
  const endpoints = buildEndpoints(count);
  const nowMs = EVENTS_PER_CALL * EVENT_MS * 3;
  const loads = createEndpointLoads();
  addCalls(loads, endpoints, 0);
  for (let instance = 1; instance < INSTANCES; instance += 1) {
    const remote = createEndpointLoads();
    addCalls(remote, endpoints, instance);
    loads.remote.set(`instance-${instance}`, remote.listOwn(nowMs), true, nowMs);
  }
  const placer = createPlacer({
    loads,
    random: createRandom(1),
    listOpen: () => endpoints,
    getRouteRank: () => ({ rank: 1, ranks: 2, urgentPauseMs: 250, nextPauseMs: 600 }),
    features: ALL_FEATURES,
    isDataCentreUnreachable: () => false,
    isAvoided: () => false,
  });
  const calls = Array.from({ length: PREFIXES }, (_, index) => buildCall(index));
  return computeMicroseconds(TIMES, (index) => {
    const call = calls[index % calls.length] as RoutedCall;
    placer.choose(call, endpoints, [], false, nowMs);
  });
}

export function buildPlacementSlopes(): Slope[] {
  return [
    buildSlope(
      'placement',
      `µs of an endpoint choice, loads of ${INSTANCES} instances known`,
      'endpoints',
      ENDPOINT_SIZES.map((size) => ({ size, value: computeChoice(size) })),
    ),
  ];
}
