/** Simulates the send limits of many instances in steps of time, without peers, engines or gossip. */
import type { RoutedCall } from '../calls/call-messages.js';
import { createSendLimits } from '../endpoint-limits/send-limits.js';
import type { PermitMessage, SendLimits } from '../endpoint-limits/send-limits.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import type { Random } from '../utils/random.js';
import { POOL, buildCall, buildSimulatedRoute } from './simulated-routes.js';

export interface SendLimitsSimulationOptions {
  readonly seed: number;
  readonly instances: number;
  /** Rate that each limited endpoint names, in requests a second. */
  readonly perSecond: number;
  readonly limitedEndpoints: number;
  readonly unlimitedEndpoints: number;
  readonly callsPerSecond: number;
  /** Share of messages that are lost. */
  readonly loss: number;
  readonly lengthMs: number;
  /**
   * Instances that are cut off from the others, but not from endpoints, for the middle third.
   * @default 0
   */
  readonly cutShare?: number;
}

export interface SendLimitsSimulationResult {
  /** Most requests that a limited endpoint got from told instances in four seconds. */
  readonly requestsMax: number;
  readonly allowed: number;
  /** Requests to limited endpoints, from all instances, after the first three seconds. */
  readonly limitedRequests: number;
  readonly refusedCalls: number;
  readonly messages: number;
}

interface Sent {
  readonly endpoint: number;
  readonly instance: number;
  readonly atMs: number;
}

interface WaitingCall {
  readonly call: RoutedCall;
  readonly instance: number;
}

interface Delivery {
  readonly atMs: number;
  readonly run: () => void;
}

const STEP_MS = 25;
const TICK_MS = 100;
const SPAN_MS = 4000;
/** Time before calls arrive, in which instances come to hold shares. */
const WARM_UP_MS = 4000;
const CONTACT_MS = 3000;
const TOLD_AFTER_MS = 500;
const RESPONSE_MS = 60;
const MESSAGE_MAX_MS = 20;
/** Reports pass through aggregators. */
const REPORT_MAX_MS = 400;
/** Instances that a report reaches; the others hear of it from these. */
const REPORT_RECIPIENTS = 4;

const ROUTE = {
  route: buildSimulatedRoute('call', { targetMs: 500, timeoutMs: 5000, priority: 1 }),
  sharedTokens: 100,
  ownTokens: 100,
  outputTokens: 10,
  callsPerSecond: 0,
};

function buildEndpoint(index: number): RegisteredEndpoint {
  return {
    id: `engine-${index}`,
    startId: `engine-${index}@1`,
    pool: POOL,
    address: String(index),
    dataCentre: 'dc',
    slots: 64,
    isLeaving: false,
    isSpot: false,
    softwareVersion: 'v1',
  };
}

/** Deliveries by the step of time in which they are due. */
function createDeliveries() {
  const byStep = new Map<number, (() => void)[]>();
  return {
    add({ atMs, run }: Delivery): void {
      const step = Math.ceil(atMs / STEP_MS);
      const due = byStep.get(step);
      if (due === undefined) byStep.set(step, [run]);
      else due.push(run);
    },
    run(nowMs: number): void {
      const step = Math.floor(nowMs / STEP_MS);
      for (const run of byStep.get(step) ?? []) run();
      byStep.delete(step);
    },
  };
}

function computeMostInSpan(timesMs: readonly number[]): number {
  let most = 0;
  let start = 0;
  timesMs.forEach((atMs, end) => {
    while ((timesMs[start] as number) < atMs - SPAN_MS) start += 1;
    most = Math.max(most, end - start + 1);
  });
  return most;
}

export function runSendLimitsSimulation(
  options: SendLimitsSimulationOptions,
): SendLimitsSimulationResult {
  const random: Random = createRandom(options.seed);
  const deliveries = createDeliveries();
  const names = Array.from({ length: options.instances }, (_, index) => `instance-${index}`);
  const indexes = new Map(names.map((name, index) => [name, index]));
  const endpoints = Array.from(
    { length: options.limitedEndpoints + options.unlimitedEndpoints },
    (_, index) => buildEndpoint(index),
  );
  const endMs = WARM_UP_MS + options.lengthMs;
  const sent: Sent[] = [];
  const toldMs = new Map<string, number>();
  let nowMs = 0;
  let messages = 0;
  let refusedCalls = 0;

  const isCutNow = (): boolean =>
    nowMs > WARM_UP_MS + options.lengthMs / 3 && nowMs < WARM_UP_MS + (options.lengthMs * 2) / 3;
  const isCutOff = (instance: number): boolean =>
    instance < options.instances * (options.cutShare ?? 0);
  const isReachable = (from: number, to: number): boolean =>
    !isCutNow() || isCutOff(from) === isCutOff(to);

  function addMessage(
    from: number,
    to: number,
    delayMaxMs: number,
    deliver: (limits: SendLimits) => void,
  ): void {
    messages += 1;
    if (random.next() < options.loss || !isReachable(from, to)) return;
    const atMs = nowMs + random.next() * delayMaxMs;
    deliveries.add({ atMs, run: () => deliver(fleet[to] as SendLimits) });
  }

  function sendMessage(from: number, message: PermitMessage): void {
    const to = indexes.get(message.to) as number;
    addMessage(from, to, MESSAGE_MAX_MS, (limits) =>
      message.kind === 'requests'
        ? limits.handleRequests(message.requests, names[from] as string)
        : limits.handleReplies(message.replies),
    );
  }

  const fleet: readonly SendLimits[] = names.map((self, index) =>
    createSendLimits({
      self,
      random: createRandom(options.seed * 1000 + index),
      getNow: () => nowMs,
      listAlive: () => (isCutNow() ? names.filter((_, other) => isReachable(index, other)) : names),
      listOpen: () => endpoints,
      observer: {
        onChanged: () => undefined,
        onUnreadable: () => undefined,
        onSent: () => undefined,
        onRefused: () => undefined,
      },
      send: (message) => sendMessage(index, message),
    }),
  );

  function sendReports(): void {
    fleet.forEach((limits, from) => {
      const reports = limits.takeReports();
      if (reports.length === 0) return;
      for (let copy = 0; copy < REPORT_RECIPIENTS; copy += 1) {
        const to = random.nextIndex(fleet.length);
        if (to !== from)
          addMessage(from, to, REPORT_MAX_MS, (peer) =>
            peer.mergeReports(reports, names[from] as string),
          );
      }
    });
  }

  function sendCall({ instance }: WaitingCall, endpoint: RegisteredEndpoint): void {
    const sentMs = nowMs;
    const index = Number(endpoint.address);
    sent.push({ endpoint: index, instance, atMs: sentMs });
    const isLimited = index < options.limitedEndpoints;
    deliveries.add({
      atMs: nowMs + RESPONSE_MS,
      run() {
        if (isLimited && !toldMs.has(`${index}|${instance}`))
          toldMs.set(`${index}|${instance}`, nowMs);
        const limits = fleet[instance] as SendLimits;
        const { perSecond } = options;
        const reading = isLimited
          ? ({ kind: 'limited', perSecond } as const)
          : ({ kind: 'none' } as const);
        limits.recordAnswer(endpoint, reading, sentMs);
      },
    });
  }

  function getOneOf(from: readonly RegisteredEndpoint[]): RegisteredEndpoint {
    const endpoint = from[random.nextIndex(from.length)];
    if (endpoint === undefined)
      throw new Error('no endpoint to choose from; add one to the simulation');
    return endpoint;
  }

  /** Returns whether the call still waits. */
  function advanceCall(waiting: WaitingCall): boolean {
    const limits = fleet[waiting.instance] as SendLimits;
    const choice = limits.choose(waiting.call, 1, []);
    if (choice.kind === 'wait') return true;
    if (choice.kind === 'refuse') {
      refusedCalls += 1;
      return false;
    }
    const endpoint = choice.untested ?? getOneOf(choice.endpoints);
    if (!limits.take(waiting.call, 1, endpoint)) return true;
    sendCall(waiting, endpoint);
    return false;
  }

  let waiting: WaitingCall[] = [];
  let calls = 0;
  let arrivals = 0;
  for (; nowMs < endMs; nowMs += STEP_MS) {
    deliveries.run(nowMs);
    arrivals += nowMs < WARM_UP_MS ? 0 : (options.callsPerSecond * STEP_MS) / 1000;
    for (; arrivals >= 1; arrivals -= 1) {
      calls += 1;
      const call = buildCall(ROUTE, `call-${calls}`, nowMs, random);
      waiting.push({ call, instance: random.nextIndex(options.instances) });
    }
    waiting = waiting.filter(advanceCall);
    if (nowMs % TICK_MS === 0) {
      fleet.forEach((limits) => limits.advance());
      sendReports();
    }
  }

  const firstToldMs = Math.min(...toldMs.values());
  const limitedSent = sent.filter(({ endpoint }) => endpoint < options.limitedEndpoints);
  const counted = limitedSent.filter(
    ({ endpoint, instance, atMs }) =>
      atMs >= firstToldMs + CONTACT_MS &&
      atMs >= (toldMs.get(`${endpoint}|${instance}`) ?? Infinity) + TOLD_AFTER_MS,
  );
  const requestsMax = Math.max(
    0,
    ...endpoints.map((_, index) =>
      computeMostInSpan(
        counted.filter(({ endpoint }) => endpoint === index).map(({ atMs }) => atMs),
      ),
    ),
  );
  return {
    requestsMax,
    allowed: 1.5 * options.perSecond * (SPAN_MS / 1000) + 5,
    limitedRequests: limitedSent.filter(({ atMs }) => atMs >= firstToldMs + CONTACT_MS).length,
    refusedCalls,
    messages,
  };
}
