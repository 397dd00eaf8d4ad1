/**
 * Keeps the fleet within the rate limits that endpoints name: decides where a call may be sent now
 * and charges every send to a limited endpoint. Performs no I/O.
 *
 * While a pool has endpoints without a limit, only the holders of a limited endpoint's rate send
 * there. Calls that have nowhere else to go ask a holder for a send.
 */
import type { RoutedCall } from '../calls/call-messages.js';
import { createReportSchedule } from '../load-sharing/report-schedule.js';
import { computeWaitLeftMs } from '../placement/admission-decision.js';
import { hashStartId } from '../placement/remote-loads.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';
import { hashName, hashPair } from '../utils/hash.js';
import type { Random } from '../utils/random.js';
import { createLimitLedger } from './limit-ledger.js';
import type { KnownLimit, LimitChange, LimitReport } from './limit-ledger.js';
import type { PermitId, PermitReply, PermitRequest } from './permit-messages.js';
import { createPermitQueue } from './permit-queue.js';
import { createPermitRequests } from './permit-requests.js';
import type { PermitState } from './permit-requests.js';
import type { RateLimitReading } from './rate-limit.js';
import { createSendShares } from './send-shares.js';

/** Time without an observation after which the next call tests whether a limit still holds. */
const TEST_AFTER_MS = 3000;
const RETRY_AFTER_MIN_MS = 500;
const RETRY_AFTER_MAX_MS = 30_000;
/** Callers return spread over this share of the time given, so that they do not come at once. */
const RETRY_SPREAD = 0.5;
/** Endpoints named in one request for a send. */
const REQUEST_ENDPOINTS_MAX = 16;

/** Where a call may be sent now. */
export type SendChoice =
  | {
      readonly kind: 'send';
      readonly endpoints: readonly RegisteredEndpoint[];
      /** Preferred if it has room: only a response shows whether its limit still holds. */
      readonly untested?: RegisteredEndpoint;
    }
  /** A send was asked for; the call waits at this instance. */
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse'; readonly failure: RequestFailure };

export interface SendLimitsObserver {
  onChanged(change: LimitChange): void;
  onUnreadable(endpoint: RegisteredEndpoint, text: string): void;
  /** A request is sent to a limited endpoint. */
  onSent(endpoint: RegisteredEndpoint): void;
  onRefused(call: RoutedCall, limits: readonly KnownLimit[], retryAfterMs: number): void;
}

export interface SendLimitsOptions {
  /** Name of this instance. */
  readonly self: string;
  readonly random: Random;
  readonly getNow: () => number;
  /** Names of the live instances, including this one. */
  readonly listAlive: () => readonly string[];
  readonly listOpen: (pool: string) => readonly RegisteredEndpoint[];
  readonly observer: SendLimitsObserver;
  readonly send: (message: PermitMessage) => void;
}

/** A message to another instance, by name. */
export type PermitMessage =
  | { readonly kind: 'requests'; readonly to: string; readonly requests: readonly PermitRequest[] }
  | { readonly kind: 'replies'; readonly to: string; readonly replies: readonly PermitReply[] };

export interface SendLimits {
  /** Records what an endpoint's response to a request that was sent at `sentMs` says. */
  recordAnswer(endpoint: RegisteredEndpoint, reading: RateLimitReading, sentMs: number): void;
  /** Endpoints of a pool without a limit, or all if each has one. */
  listPreferred(pool: string): readonly RegisteredEndpoint[];
  isLimited(startId: string): boolean;
  /** `attempt` numbers the attempts of a call; `tried` holds the ids of endpoints it was sent to. */
  choose(call: RoutedCall, attempt: number, tried: readonly string[]): SendChoice;
  /** Charges a send; false if the endpoint must not get the call now. */
  take(call: RoutedCall, attempt: number, endpoint: RegisteredEndpoint): boolean;
  /** Forgets a start of an endpoint that has ended. */
  remove(startId: string): void;
  /** Returns the limits to report to other instances now; changes are repeated, since datagrams are lost. */
  takeReports(): readonly LimitReport[];
  mergeReports(reports: readonly LimitReport[], source: string): void;
  handleRequests(requests: readonly PermitRequest[], from: string): void;
  handleReplies(replies: readonly PermitReply[]): void;
  /** Sends the messages that are due. */
  advance(): void;
  list(): KnownLimit[];
}

interface PreferredEndpoints {
  readonly open: readonly RegisteredEndpoint[];
  readonly changes: number;
  readonly preferred: readonly RegisteredEndpoint[];
}

function computePermitId({ callId }: RoutedCall, attempt: number): PermitId {
  return hashName(`${callId}|${attempt}`);
}

export function createSendLimits(options: SendLimitsOptions): SendLimits {
  const { self, random, getNow, listOpen, observer } = options;
  const ledger = createLimitLedger();
  const shares = createSendShares({
    self,
    listAlive: options.listAlive,
    getRate: (endpoint) => ledger.getRate(endpoint),
    startedMs: getNow(),
  });
  const queue = createPermitQueue(shares);
  const requests = createPermitRequests();
  /** Cached by pool, since every placement reads them. */
  const preferredByPool = new Map<string, PreferredEndpoints>();
  let changes = 0;
  const reportSchedule = createReportSchedule();

  function recordChange(change: LimitChange | undefined): void {
    if (change === undefined) return;
    changes += 1;
    reportSchedule.recordChange();
    observer.onChanged(change);
  }

  function isLimited(startId: string): boolean {
    return ledger.hasAny() && ledger.getRate(hashStartId(startId)) !== undefined;
  }

  function listPreferred(pool: string): readonly RegisteredEndpoint[] {
    const open = listOpen(pool);
    if (!ledger.hasAny()) return open;
    const known = preferredByPool.get(pool);
    if (known?.open === open && known.changes === changes) return known.preferred;
    const unlimited = open.filter(({ startId }) => !isLimited(startId));
    const preferred = unlimited.length > 0 ? unlimited : open;
    preferredByPool.set(pool, { open, changes, preferred });
    return preferred;
  }

  function listReady(pool: string, tried: readonly string[]): RegisteredEndpoint[] {
    const nowMs = getNow();
    return listOpen(pool).filter(
      ({ id, startId }) =>
        !tried.includes(id) && isLimited(startId) && shares.isReady(hashStartId(startId), nowMs),
    );
  }

  /** Finds a limited endpoint without a recent response, whose limit may no longer hold. */
  function findUntested(ready: readonly RegisteredEndpoint[]): RegisteredEndpoint | undefined {
    const nowMs = getNow();
    return ready.find(({ startId }) => {
      const limit = ledger.find(hashStartId(startId));
      return limit !== undefined && nowMs - limit.observedMs > TEST_AFTER_MS;
    });
  }

  function refuse(
    call: RoutedCall,
    endpoints: readonly RegisteredEndpoint[],
    predictedMs: number,
  ): SendChoice {
    const limits = endpoints
      .map(({ startId }) => ledger.find(hashStartId(startId)))
      .filter((limit) => limit !== undefined);
    const boundedMs = Math.min(RETRY_AFTER_MAX_MS, Math.max(RETRY_AFTER_MIN_MS, predictedMs));
    const retryAfterMs = Math.round(boundedMs * (1 + RETRY_SPREAD * random.next()));
    observer.onRefused(call, limits, retryAfterMs);
    const message =
      'the endpoints of the pool take only a limited rate of requests; come back after the time given';
    const failure = { type: FAILURE.Overloaded, message, outcome: OUTCOME.NotRun, retryAfterMs };
    return { kind: 'refuse', failure };
  }

  /** Time between two sends of the whole fleet to any of the endpoints. */
  function computeIntervalMs(endpoints: readonly RegisteredEndpoint[]): number {
    const rate = endpoints.reduce(
      (sum, { startId }) => sum + (ledger.getRate(hashStartId(startId)) ?? 0),
      0,
    );
    return 1000 / rate;
  }

  function sendGrants(): void {
    const nowMs = getNow();
    for (const { to, reply } of queue.advance(nowMs)) {
      if (to === self) requests.handle(reply, nowMs);
      else options.send({ kind: 'replies', to, replies: [reply] });
    }
  }

  function handleRequests(received: readonly PermitRequest[], from: string): void {
    const nowMs = getNow();
    const replies = received
      .map((request) => queue.handle(request, from, nowMs))
      .filter((reply) => reply !== undefined);
    if (from === self) for (const reply of replies) requests.handle(reply, nowMs);
    else if (replies.length > 0) options.send({ kind: 'replies', to: from, replies });
    sendGrants();
  }

  function sendRequests(): void {
    for (const { to, requests: due } of requests.advance(getNow())) {
      if (to === self) handleRequests(due, self);
      else options.send({ kind: 'requests', to, requests: due });
    }
  }

  function buildRequest(
    call: RoutedCall,
    attempt: number,
    endpoints: readonly RegisteredEndpoint[],
    waitLeftMs: number,
  ): PermitRequest {
    const id = computePermitId(call, attempt);
    const keys = endpoints.map(({ startId }) => hashStartId(startId));
    const chosen = keys
      .sort((a, b) => hashPair(b, id) - hashPair(a, id))
      .slice(0, REQUEST_ENDPOINTS_MAX);
    const organisation = hashName(call.organisation ?? '');
    return { id, urgency: call.urgency, organisation, waitLeftMs, endpoints: chosen };
  }

  function queryPermit(request: PermitRequest): PermitState {
    const nowMs = getNow();
    const holders = new Set(
      request.endpoints.flatMap((endpoint) => shares.listHolders(endpoint, nowMs)),
    );
    const isNew = !requests.has(request.id);
    const state = requests.query(request, [...holders], nowMs);
    if (!isNew) return state;
    sendRequests();
    return requests.query(request, [...holders], nowMs);
  }

  /** Asks a holder for a send to one of the endpoints, all of which are limited. */
  function choosePermit(
    call: RoutedCall,
    attempt: number,
    endpoints: readonly RegisteredEndpoint[],
  ): SendChoice {
    const waitLeftMs = computeWaitLeftMs(call, getNow());
    if (waitLeftMs <= 0) return refuse(call, endpoints, computeIntervalMs(endpoints));
    const state = queryPermit(buildRequest(call, attempt, endpoints, waitLeftMs));
    switch (state.kind) {
      case 'pending':
        return { kind: 'wait' };
      case 'granted': {
        const granted = endpoints.filter(({ startId }) => hashStartId(startId) === state.endpoint);
        return granted.length > 0 ? { kind: 'send', endpoints: granted } : { kind: 'wait' };
      }
      case 'refused':
        return refuse(call, endpoints, state.retryAfterMs);
      default:
        return assertNever(state);
    }
  }

  function takeShare(endpoint: EndpointKey): boolean {
    return shares.take(endpoint, getNow());
  }

  return {
    recordAnswer(endpoint, reading, sentMs) {
      if (reading.kind === 'unreadable') observer.onUnreadable(endpoint, reading.text);
      if (reading.kind === 'none' && !ledger.hasAny()) return;
      recordChange(ledger.recordAnswer(hashStartId(endpoint.startId), reading, sentMs, getNow()));
    },
    listPreferred,
    isLimited,
    choose(call, attempt, tried) {
      const open = listOpen(call.pool);
      if (!ledger.hasAny()) return { kind: 'send', endpoints: open };
      const untried = open.filter(({ id }) => !tried.includes(id));
      const unlimited = untried.filter(({ startId }) => !isLimited(startId));
      if (unlimited.length === 0 && untried.length > 0) return choosePermit(call, attempt, untried);
      const ready = listReady(call.pool, tried);
      const untested = findUntested(ready);
      const endpoints = [...unlimited, ...ready];
      return { kind: 'send', endpoints, ...(untested === undefined ? {} : { untested }) };
    },
    take(call, attempt, endpoint) {
      if (!isLimited(endpoint.startId)) return true;
      const key = hashStartId(endpoint.startId);
      const isTaken =
        requests.takeGrant(computePermitId(call, attempt), key, getNow()) || takeShare(key);
      if (isTaken) observer.onSent(endpoint);
      return isTaken;
    },
    remove(startId) {
      const key = hashStartId(startId);
      ledger.remove(key);
      shares.remove(key);
      changes += 1;
    },
    takeReports() {
      const nowMs = getNow();
      if (!ledger.hasAny() || !reportSchedule.takeDue(nowMs)) return [];
      return ledger.buildReports(nowMs);
    },
    mergeReports(reports, source) {
      for (const change of ledger.merge(reports, source, getNow())) recordChange(change);
    },
    handleRequests,
    handleReplies(replies) {
      for (const reply of replies) requests.handle(reply, getNow());
    },
    advance() {
      if (!ledger.hasAny() && requests.count() === 0 && queue.count() === 0) return;
      ledger.removeExpired(getNow());
      sendRequests();
      sendGrants();
    },
    list: () => ledger.list(),
  };
}
