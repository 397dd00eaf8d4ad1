/**
 * Decides which endpoints take requests, by what they said of themselves in their responses: the
 * registry, which may be out of reach, lists the others. Performs no I/O.
 */
import type { RoutedCall } from '../calls/call-messages.js';
import { createReportSchedule } from '../load-sharing/report-schedule.js';
import { computeWaitLeftMs } from '../placement/admission-decision.js';
import { hashStartId } from '../placement/remote-loads.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { Random } from '../utils/random.js';
import { createAvailabilityLedger } from './availability-ledger.js';
import type { KnownNotice, NoticeChange, NoticeReport } from './availability-ledger.js';
import type { AvailabilityNotice } from './availability-notice.js';
import { createRestQueue } from './rest-queue.js';

/**
 * Instances use an endpoint again spread over this share of its rest, so that they do not all return
 * at once.
 */
const REST_SPREAD = 0.1;
const REST_SPREAD_MAX_MS = 500;
const RETRY_AFTER_MIN_MS = 100;
/** Callers return spread over this share of the time given. */
const RETRY_SPREAD = 0.5;

/** Whether a call finds endpoints that take requests. */
export type AvailabilityChoice =
  | { readonly kind: 'open' }
  /** All endpoints that are left rest; the call waits at this instance for the end of a rest. */
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse'; readonly failure: RequestFailure };

export interface AvailabilityObserver {
  onChanged(change: NoticeChange): void;
  /** A response asks for rest in a form that cannot be read. */
  onUnreadable(endpoint: RegisteredEndpoint, text: string): void;
  /** A call was refused because the endpoints of its pool rest. */
  onRefused(call: RoutedCall, resting: readonly KnownNotice[], retryAfterMs: number): void;
}

export interface EndpointAvailabilityOptions {
  /** Endpoints of a pool that the registry lists as open; the same array until they change. */
  readonly listRegistered: (pool: string) => readonly RegisteredEndpoint[];
  /** Whether the registry lists a start of an endpoint. */
  readonly isRegistered: (start: EndpointKey) => boolean;
  /** Number of instances that share the endpoints, including this one. */
  readonly countInstances: () => number;
  readonly random: Random;
  readonly getNow: () => number;
  readonly observer: AvailabilityObserver;
}

export interface EndpointAvailability {
  /** Records what the head of an endpoint's response says. */
  recordAnswer(endpoint: RegisteredEndpoint, notice: AvailabilityNotice): void;
  /** Endpoints of a pool that take requests; every choice of an endpoint starts from these. */
  listOpen(pool: string): readonly RegisteredEndpoint[];
  isAvailable(endpoint: RegisteredEndpoint): boolean;
  /** `tried` holds the ids of endpoints that the call was sent to before. */
  choose(call: RoutedCall, tried: readonly string[]): AvailabilityChoice;
  /** Time until an endpoint of the pool ends its rest, spread; 0 if one takes requests, or none rests. */
  computeReturnMs(pool: string): number;
  /** Whether the endpoint said that it is leaving. */
  isLeaving(startId: string): boolean;
  /** Whether the endpoint asked another instance for rest: it is used only if there is no other. */
  isRestingElsewhere(endpoint: RegisteredEndpoint): boolean;
  /** Returns what to report to other instances now; changes are repeated, since datagrams are lost. */
  takeReports(): readonly NoticeReport[];
  merge(reports: readonly NoticeReport[], source: string): void;
  /** Forgets a start of an endpoint that has ended. */
  remove(startId: string): void;
  /** Ends what is over. */
  advance(): void;
  list(): readonly KnownNotice[];
}

interface OpenEndpoints {
  readonly registered: readonly RegisteredEndpoint[];
  readonly version: number;
  /** When the next rest in the pool ends. */
  readonly validUntilMs: number;
  readonly open: readonly RegisteredEndpoint[];
}

export function createEndpointAvailability(
  options: EndpointAvailabilityOptions,
): EndpointAvailability {
  const { random, getNow, observer } = options;
  const ledger = createAvailabilityLedger();
  /** Cached by pool, since every placement reads them. */
  const openByPool = new Map<string, OpenEndpoints>();
  const queue = createRestQueue();
  const reportSchedule = createReportSchedule();

  function isLeaving(startId: string): boolean {
    return ledger.hasAny() && ledger.isLeaving(hashStartId(startId));
  }

  function findRestEnd({ startId }: RegisteredEndpoint): number | undefined {
    return ledger.hasAny() ? ledger.findRestEnd(hashStartId(startId), getNow()) : undefined;
  }

  function isAvailable(endpoint: RegisteredEndpoint): boolean {
    return !isLeaving(endpoint.startId) && findRestEnd(endpoint) === undefined;
  }

  function listResting(endpoints: readonly RegisteredEndpoint[]): RegisteredEndpoint[] {
    return endpoints.filter(
      (endpoint) => !isLeaving(endpoint.startId) && findRestEnd(endpoint) !== undefined,
    );
  }

  /** When the first of the endpoints ends its rest; infinite if none rests. */
  function computeRestEnd(endpoints: readonly RegisteredEndpoint[]): number {
    return Math.min(...endpoints.map((endpoint) => findRestEnd(endpoint) ?? Infinity));
  }

  function listOpen(pool: string): readonly RegisteredEndpoint[] {
    const registered = options.listRegistered(pool);
    if (!ledger.hasAny()) return registered;
    const version = ledger.getVersion();
    const known = openByPool.get(pool);
    const isCurrent = known?.registered === registered && known.version === version;
    if (isCurrent && getNow() < known.validUntilMs) return known.open;
    const open = registered.filter(isAvailable);
    const validUntilMs = computeRestEnd(registered);
    openByPool.set(pool, { registered, version, validUntilMs, open });
    return open;
  }

  function computeReturnMs(pool: string): number {
    const resting = listOpen(pool).length > 0 ? [] : listResting(options.listRegistered(pool));
    if (resting.length === 0) return 0;
    const restLeftMs = Math.max(RETRY_AFTER_MIN_MS, computeRestEnd(resting) - getNow());
    return Math.round(restLeftMs * (1 + RETRY_SPREAD * random.next()));
  }

  function refuse(call: RoutedCall, resting: readonly RegisteredEndpoint[]): AvailabilityChoice {
    const retryAfterMs = Math.max(RETRY_AFTER_MIN_MS, computeReturnMs(call.pool));
    const keys = new Set(resting.map(({ startId }) => hashStartId(startId)));
    const notices = ledger.list().filter(({ endpoint }) => keys.has(endpoint));
    observer.onRefused(call, notices, retryAfterMs);
    const message = 'the endpoints of the pool asked for rest; come back after the time given';
    const failure = { type: FAILURE.Overloaded, message, outcome: OUTCOME.NotRun, retryAfterMs };
    return { kind: 'refuse', failure };
  }

  /** Calls that may wait at this instance: its share of the places that are free after the rest. */
  function computeRoom(resting: readonly RegisteredEndpoint[]): number {
    const slots = resting.reduce((sum, endpoint) => sum + endpoint.slots, 0);
    return Math.max(1, Math.floor(slots / Math.max(1, options.countInstances())));
  }

  /** Whether the call has time left for the rest and is among those that have room after it. */
  function isWaitAllowed(call: RoutedCall, resting: readonly RegisteredEndpoint[]): boolean {
    const nowMs = getNow();
    if (computeRestEnd(resting) - nowMs > computeWaitLeftMs(call, nowMs)) return false;
    const { callId, pool, organisation = '', urgency, receivedMs } = call;
    const waiting = { callId, pool, organisation, urgency, receivedMs };
    return queue.add(waiting, computeRoom(resting), nowMs);
  }

  function choose(call: RoutedCall, tried: readonly string[]): AvailabilityChoice {
    if (!ledger.hasAny()) return { kind: 'open' };
    const isUntried = ({ id }: RegisteredEndpoint): boolean => !tried.includes(id);
    if (listOpen(call.pool).some(isUntried)) return { kind: 'open' };
    const resting = listResting(options.listRegistered(call.pool));
    if (resting.length === 0) return { kind: 'open' };
    const untried = resting.filter(isUntried);
    const isWaiting = untried.length > 0 && isWaitAllowed(call, untried);
    return isWaiting ? { kind: 'wait' } : refuse(call, resting);
  }

  function recordChanges(changes: readonly (NoticeChange | undefined)[]): void {
    for (const change of changes) {
      if (change !== undefined) {
        if (change.change !== 'ended') reportSchedule.recordChange();
        observer.onChanged(change);
      }
    }
  }

  function recordRest(endpoint: EndpointKey, restMs: number): void {
    const spreadMs = Math.min(REST_SPREAD_MAX_MS, restMs * REST_SPREAD) * random.next();
    recordChanges([ledger.recordRest(endpoint, restMs + spreadMs, getNow())]);
  }

  return {
    recordAnswer(endpoint, notice) {
      const key = hashStartId(endpoint.startId);
      const { rest } = notice;
      if (notice.isLeaving) recordChanges([ledger.recordLeaving(key, getNow())]);
      if (rest.kind === 'rest') recordRest(key, rest.restMs);
      if (rest.kind === 'unreadable') observer.onUnreadable(endpoint, rest.text);
    },
    listOpen,
    isAvailable,
    choose,
    computeReturnMs,
    isLeaving,
    isRestingElsewhere: ({ startId }) =>
      ledger.hasAny() && ledger.isRestingElsewhere(hashStartId(startId), getNow()),
    takeReports() {
      const nowMs = getNow();
      if (!ledger.hasAny() || !reportSchedule.takeDue(nowMs)) return [];
      return ledger.buildReports(options.isRegistered, nowMs);
    },
    merge: (reports, source) => recordChanges(ledger.merge(reports, source, getNow())),
    remove(startId) {
      if (ledger.hasAny()) recordChanges(ledger.remove(hashStartId(startId)));
    },
    advance() {
      if (ledger.hasAny()) recordChanges(ledger.removeExpired(getNow()));
    },
    list: () => ledger.list(),
  };
}
