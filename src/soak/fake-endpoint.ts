/** One endpoint of a randomised run: its faults, and what follows from them for a request. */
import { hashName } from '../utils/hash.js';
import type { FakeNotice } from './fake-notices.js';
import type { VirtualTime } from './virtual-time.js';

/** One endpoint and its faults. */
export interface FakeEndpoint extends FakeNotice {
  readonly name: string;
  readonly dataCentre: string;
  isCrashed: boolean;
  /** Connections stay open and carry nothing. */
  isFrozen: boolean;
  isLeaving: boolean;
  saysLeaving: boolean;
  restMs: number;
  /** Requests a second that it takes from all routers; it turns others away until it takes one again. */
  rateLimit: number;
  /** When it takes the next request. */
  nextTakenMs: number;
  /** Share of requests that crash it; a request that is sent again crashes the next endpoint, too. */
  crashShare: number;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Requests under way. */
  running: number;
  /** Whether it crashes if it has to reject a request for want of room. */
  isBrittle: boolean;
  /** How often it did. */
  falls: number;
  /** Factor on time of a fault. */
  slowdown: number;
  /** Factor on time that lasts. */
  timeFactor: number;
  /** Factor on time while more than three quarters of the slots are in use. */
  nearlyFullFactor: number;
  /** Share of frames that are repeated, crossed or left out. */
  badFrames: number;
  /** Share of service calls whose answer is lost after they ran. */
  lostAnswers: number;
  models: readonly string[];
  fence: number;
  /** When it began to leave; undefined while it stays. */
  leavingSinceMs: number | undefined;
  /** When it began to say so in its responses. */
  saysLeavingSinceMs: number | undefined;
}

/** Time by which load reports lag behind responses. */
const REPORT_LAG_MS = 4000;
/** Time after a crash at which an endpoint is back. */
const RESTART_MS = 1500;
const CRASH_HASH_STEPS = 1000;

export function createFakeEndpoint(name: string, dataCentre: string, slots: number): FakeEndpoint {
  return {
    name,
    dataCentre,
    isCrashed: false,
    isFrozen: false,
    isLeaving: false,
    saysLeaving: false,
    restMs: 0,
    rateLimit: Infinity,
    nextTakenMs: -Infinity,
    crashShare: 0,
    slots,
    running: 0,
    isBrittle: false,
    falls: 0,
    slowdown: 1,
    timeFactor: 1,
    nearlyFullFactor: 1,
    badFrames: 0,
    lostAnswers: 0,
    models: ['assistant'],
    fence: 0,
    leavingSinceMs: undefined,
    saysLeavingSinceMs: undefined,
  };
}

/** Share of the slots beyond which an endpoint counts as nearly full. */
const NEARLY_FULL_SHARE = 0.75;

/** Factor on the time of a frame or a service call that starts now. */
export function computeTimeFactor(endpoint: FakeEndpoint): number {
  const { slots, running, slowdown, timeFactor, nearlyFullFactor } = endpoint;
  return slowdown * timeFactor * (running > slots * NEARLY_FULL_SHARE ? nearlyFullFactor : 1);
}

/** Whether the load report says that the endpoint is leaving; it lags behind responses. */
export function isReportedLeaving(
  { isLeaving, saysLeavingSinceMs }: FakeEndpoint,
  nowMs: number,
): boolean {
  const isReported = saysLeavingSinceMs !== undefined && nowMs - saysLeavingSinceMs > REPORT_LAG_MS;
  return isLeaving || isReported;
}

/** Whether an endpoint takes a request now; one with a rate limit takes one in each interval. */
export function takeRequest(taking: FakeEndpoint, nowMs: number): boolean {
  const endpoint = taking;
  if (endpoint.restMs > 0 || nowMs < endpoint.nextTakenMs) return false;
  endpoint.nextTakenMs = nowMs + 1000 / endpoint.rateLimit;
  return true;
}

/** Requests beyond the slots that an endpoint lets wait. */
const WAITING_MAX = 1;

/** Makes a brittle endpoint crash if it has no room for one more request; returns whether it did. */
export function checkRoom(checked: FakeEndpoint, time: VirtualTime): boolean {
  const endpoint = checked;
  if (!endpoint.isBrittle || endpoint.running < endpoint.slots + WAITING_MAX) return true;
  endpoint.falls += 1;
  stopEndpoint(endpoint, time);
  return false;
}

/** Whether the request, under whatever attempt, is one that crashes endpoints. */
export function isCrashing({ crashShare }: FakeEndpoint, attemptId: string): boolean {
  const requestId = attemptId.slice(0, attemptId.lastIndexOf('-'));
  return crashShare > 0 && hashName(requestId) % CRASH_HASH_STEPS < crashShare * CRASH_HASH_STEPS;
}

/** Crashes an endpoint, which restarts by itself. */
export function stopEndpoint(crashing: FakeEndpoint, time: VirtualTime): void {
  const endpoint = crashing;
  endpoint.isCrashed = true;
  time.add(undefined, RESTART_MS, () => {
    endpoint.isCrashed = false;
  });
}
