/**
 * Keeps the calls under way at brittle endpoints within this instance's share of their slots, so that
 * no endpoint has to reject more than it bears. Performs no I/O.
 */
import type { RoutedCall } from '../calls/call-messages.js';
import { NO_CAPACITY } from '../calls/call-refusals.js';
import { createRestQueue } from '../endpoint-availability/rest-queue.js';
import { createReportSchedule } from '../load-sharing/report-schedule.js';
import { computeWaitLeftMs } from '../placement/admission-decision.js';
import { hashStartId } from '../placement/remote-loads.js';
import type { RequestFailure } from '../types/outcomes.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createBrittleLedger } from './brittle-ledger.js';
import type { BrittleChange, BrittleReport, KnownBrittle } from './brittle-ledger.js';
import type { BrittleReading } from './brittle-reading.js';
import { computeShare, computeSlotOwners } from './share-owners.js';
import type { SlotOwners } from './share-owners.js';

/** A call that was given up may occupy its slot for so long. */
const LINGER_MS = 1000;
/** Pause after a rejection for want of room, so that an instance brings about one a second at most. */
const REJECTED_PAUSE_MS = 1500;
/** Time for which a starting instance owns nothing, since it does not know the others yet. */
const SETTLE_MS = 1000;
/** Interval at which shares follow changes of the fleet. */
const REFRESH_MS = 500;
/** Calls that wait for each slot while it is not known how long a call takes. */
const WAITING_PER_SLOT = 2;

export type ShareChoice =
  /** Endpoints that the call may be sent to. */
  | { readonly kind: 'send'; readonly endpoints: readonly RegisteredEndpoint[] }
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse'; readonly failure: RequestFailure };

/** A slot of an endpoint that a call uses. */
export interface SlotTicket {
  /** `mayStillRun`: the endpoint may go on with the call for a while. */
  release(mayStillRun: boolean): void;
}

export interface SlotSharesObserver {
  onChanged(change: BrittleChange): void;
  onUnreadable(text: string): void;
  onRefused(call: RoutedCall): void;
}

export interface SlotSharesOptions {
  readonly self: string;
  readonly getNow: () => number;
  /** Names of the live instances, including this one. */
  readonly listAlive: () => readonly string[];
  /** Mean time from sending a call of the pool to the end of its answer; 0 while unknown. */
  readonly getMeanRunMs: (pool: string) => number;
  readonly observer: SlotSharesObserver;
}

export interface SlotShares {
  recordAnswer(endpoint: RegisteredEndpoint, reading: BrittleReading): void;
  /** The endpoint rejected a call for want of room. */
  recordRejected(endpoint: RegisteredEndpoint): void;
  choose(call: RoutedCall, endpoints: readonly RegisteredEndpoint[]): ShareChoice;
  /** Takes a slot for a call that is sent. */
  start(endpoint: RegisteredEndpoint): SlotTicket;
  /** Takes a free slot of this instance's share for a peer's call; undefined if there is none. */
  takeForPeer(endpoint: RegisteredEndpoint): SlotTicket | undefined;
  /** Instances that own slots of the endpoint, if this one does not; else undefined. */
  listOwners(endpoint: RegisteredEndpoint): readonly string[] | undefined;
  isBrittle(endpoint: RegisteredEndpoint): boolean;
  /** Whether the endpoint lately rejected calls for want of room. */
  hasRejected(endpoint: RegisteredEndpoint): boolean;
  takeReports(): readonly BrittleReport[];
  merge(reports: readonly BrittleReport[], source: string): void;
  remove(startId: string): void;
  advance(): void;
  list(): readonly KnownBrittle[];
}

interface CachedOwners {
  readonly owners: SlotOwners;
  readonly slots: number;
  readonly validUntilMs: number;
}

export function createSlotShares(options: SlotSharesOptions): SlotShares {
  const { self, getNow, observer } = options;
  const startedMs = getNow();
  const ledger = createBrittleLedger();
  const reportSchedule = createReportSchedule();
  const queue = createRestQueue();
  /** Calls of this instance under way, by start; kept at all times, since brittleness may begin. */
  const running = new Map<string, number>();
  const ownersByStart = new Map<string, CachedOwners>();
  const rejectedMs = new Map<string, number>();
  /** Slots that calls given up may still occupy. */
  let lingering: { readonly startId: string; readonly untilMs: number }[] = [];

  function recordChanges(changes: readonly (BrittleChange | undefined)[]): void {
    for (const change of changes) {
      if (change !== undefined) {
        if (change.isBrittle) reportSchedule.recordChange();
        observer.onChanged(change);
      }
    }
  }

  function isBrittle({ startId }: RegisteredEndpoint): boolean {
    return ledger.hasAny() && ledger.has(hashStartId(startId));
  }

  function getOwners({ startId, slots }: RegisteredEndpoint): SlotOwners {
    const nowMs = getNow();
    const cached = ownersByStart.get(startId);
    if (cached !== undefined && cached.slots === slots && nowMs < cached.validUntilMs)
      return cached.owners;
    const owners = computeSlotOwners(startId, slots, options.listAlive());
    ownersByStart.set(startId, { owners, slots, validUntilMs: nowMs + REFRESH_MS });
    return owners;
  }

  function computeOwnShare(endpoint: RegisteredEndpoint): number {
    if (getNow() - startedMs < SETTLE_MS) return 0;
    return computeShare(getOwners(endpoint), self);
  }

  function addRunning(startId: string, count: number): void {
    const next = (running.get(startId) ?? 0) + count;
    if (next > 0) running.set(startId, next);
    else running.delete(startId);
  }

  function hasRejected({ startId }: RegisteredEndpoint): boolean {
    return getNow() - (rejectedMs.get(startId) ?? -Infinity) < REJECTED_PAUSE_MS;
  }

  function isFree(endpoint: RegisteredEndpoint): boolean {
    return (
      !hasRejected(endpoint) && (running.get(endpoint.startId) ?? 0) < computeOwnShare(endpoint)
    );
  }

  /** Whether the call may wait: those before it leave it a slot in time. */
  function isWaitAllowed(call: RoutedCall, slots: number): boolean {
    const nowMs = getNow();
    const waitLeftMs = computeWaitLeftMs(call, nowMs);
    if (waitLeftMs <= 0) return false;
    const meanRunMs = options.getMeanRunMs(call.pool);
    const turns = meanRunMs > 0 ? waitLeftMs / meanRunMs : WAITING_PER_SLOT;
    const { callId, pool, organisation = '', urgency, receivedMs } = call;
    const waiting = { callId, pool, organisation, urgency, receivedMs };
    return queue.add(waiting, Math.max(1, Math.floor(slots * turns)), nowMs);
  }

  function chooseWaiting(call: RoutedCall, endpoints: readonly RegisteredEndpoint[]): ShareChoice {
    const slots = endpoints.reduce((sum, endpoint) => sum + computeOwnShare(endpoint), 0);
    if (isWaitAllowed(call, slots)) return { kind: 'wait' };
    observer.onRefused(call);
    return { kind: 'refuse', failure: NO_CAPACITY };
  }

  function start({ startId }: RegisteredEndpoint): SlotTicket {
    addRunning(startId, 1);
    let isReleased = false;
    return {
      release(mayStillRun) {
        if (isReleased) return;
        isReleased = true;
        if (mayStillRun && ledger.hasAny())
          lingering.push({ startId, untilMs: getNow() + LINGER_MS });
        else addRunning(startId, -1);
      },
    };
  }

  return {
    recordAnswer({ startId }, reading) {
      const key = hashStartId(startId);
      switch (reading.kind) {
        case 'none':
          if (ledger.hasAny()) recordChanges([ledger.remove(key, getNow())]);
          break;
        case 'brittle':
          recordChanges([ledger.record(key, reading.rejectionsMax, getNow())]);
          break;
        default:
          observer.onUnreadable(reading.text);
          recordChanges([ledger.record(key, 0, getNow())]);
      }
    },
    recordRejected(endpoint) {
      if (isBrittle(endpoint)) rejectedMs.set(endpoint.startId, getNow());
    },
    choose(call, endpoints) {
      if (!ledger.hasAny() || !endpoints.some(isBrittle)) return { kind: 'send', endpoints };
      const free = endpoints.filter((endpoint) => !isBrittle(endpoint) || isFree(endpoint));
      if (free.length > 0) return { kind: 'send', endpoints: free };
      const owned = endpoints.filter((endpoint) => computeOwnShare(endpoint) > 0);
      if (owned.length > 0) return chooseWaiting(call, owned);
      const usable = endpoints.filter((endpoint) => !hasRejected(endpoint));
      return usable.length > 0
        ? { kind: 'send', endpoints: usable }
        : chooseWaiting(call, endpoints);
    },
    start,
    // The peer knows that the endpoint is brittle; this instance may not have heard it yet.
    takeForPeer: (endpoint) => (isFree(endpoint) ? start(endpoint) : undefined),
    listOwners(endpoint) {
      if (!isBrittle(endpoint) || computeOwnShare(endpoint) > 0) return undefined;
      const { slotsOfAll, owners } = getOwners(endpoint);
      const names = slotsOfAll > 0 ? options.listAlive() : [...owners];
      return names.filter((name) => name !== self);
    },
    isBrittle,
    hasRejected,
    takeReports() {
      const nowMs = getNow();
      if (!ledger.hasAny() || !reportSchedule.takeDue(nowMs)) return [];
      return ledger.buildReports(nowMs);
    },
    merge: (reports, source) => recordChanges(ledger.merge(reports, source, getNow())),
    remove(startId) {
      running.delete(startId);
      ownersByStart.delete(startId);
      rejectedMs.delete(startId);
      if (ledger.hasAny()) recordChanges([ledger.remove(hashStartId(startId), getNow())]);
    },
    advance() {
      const nowMs = getNow();
      const ended = lingering.filter(({ untilMs }) => untilMs <= nowMs);
      if (ended.length > 0) {
        lingering = lingering.filter(({ untilMs }) => untilMs > nowMs);
        for (const { startId } of ended) addRunning(startId, -1);
      }
      if (ledger.hasAny()) recordChanges(ledger.removeExpired(nowMs));
    },
    list: () => ledger.list(),
  };
}
