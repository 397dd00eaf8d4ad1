/**
 * The endpoints that accept new calls, built from the entries of a registry; does no I/O. An
 * endpoint that is leaving or was removed gets no new calls. Entries that lapse during a registry
 * outage are kept until the endpoints have had time to renew them.
 */
import { hashStartId } from '../placement/remote-loads.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';

/** Time in which live endpoints renew their entries after an outage, as the platform guarantees. */
export const RENEWAL_WINDOW_MS = 2000;

export type DirectoryMessage =
  | { readonly kind: 'registered'; readonly endpoint: RegisteredEndpoint }
  | { readonly kind: 'removed'; readonly id: string }
  /** The entry exists but does not describe a usable endpoint. */
  | { readonly kind: 'unreadable'; readonly id: string }
  /** All registered endpoints; those missing from it were removed. */
  | { readonly kind: 'listed'; readonly endpoints: readonly RegisteredEndpoint[] }
  | { readonly kind: 'source_lost' }
  | { readonly kind: 'source_back' }
  /**
   * A peer that reaches the registry reports its state; entries may still be renewed for `forMs`.
   */
  | { readonly kind: 'renewing'; readonly forMs: number }
  | { readonly kind: 'tick' };

export interface DirectoryChange {
  /** The state before the change; for `added`, `leaving` and `renewed` the state after it. */
  readonly endpoint: RegisteredEndpoint;
  readonly change: 'added' | 'leaving' | 'lapsed' | 'renewed' | 'restarted' | 'removed';
}

export interface EndpointDirectory {
  handle(message: DirectoryMessage, nowMs: number): DirectoryChange[];
  /** Endpoints of a pool that accept new calls. */
  listOpen(pool: string): readonly RegisteredEndpoint[];
  /** Endpoints of a pool that run calls, including those that are leaving. */
  listServing(pool: string): readonly RegisteredEndpoint[];
  find(id: string): RegisteredEndpoint | undefined;
  /** Whether a start of an endpoint is registered, by its key. */
  hasStart(start: EndpointKey): boolean;
  listAll(): readonly RegisteredEndpoint[];
  /** Whether an entry exists that could not be read. */
  hasUnreadable(): boolean;
  /** Whether the registry is out of reach and no peer has reported its state since. */
  isSourceLost(): boolean;
  /**
   * Milliseconds for which lapsed entries may still be renewed; 0 during an outage and after the
   * window.
   */
  computeRenewalLeft(nowMs: number): number;
}

interface Entry {
  endpoint: RegisteredEndpoint;
  /** Whether the entry lapsed during a registry outage. */
  isLapsed: boolean;
}

/**
 * Multiple of the usual slots of a pool that one endpoint is taken to have at most. Guards against one entry
 * with an absurd number, whose endpoint would seem idle whatever it runs and get all calls.
 */
const SLOTS_FACTOR_MAX = 4;

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

function computeUsable(endpoints: readonly RegisteredEndpoint[]): RegisteredEndpoint[] {
  const slotsMax = computeMedian(endpoints.map(({ slots }) => slots)) * SLOTS_FACTOR_MAX;
  return endpoints.map((endpoint) =>
    endpoint.slots > slotsMax ? { ...endpoint, slots: slotsMax } : endpoint,
  );
}

function addToPool(pools: Map<string, RegisteredEndpoint[]>, endpoint: RegisteredEndpoint): void {
  const endpoints = pools.get(endpoint.pool) ?? [];
  endpoints.push(endpoint);
  pools.set(endpoint.pool, endpoints);
}

export function createEndpointDirectory(): EndpointDirectory {
  const entries = new Map<string, Entry>();
  let openByPool = new Map<string, RegisteredEndpoint[]>();
  let servingByPool = new Map<string, RegisteredEndpoint[]>();
  let startKeys: ReadonlySet<EndpointKey> = new Set();
  let unreadable = new Set<string>();
  /** Told since the last message of another kind. */
  const listedUnreadable = new Set<string>();
  let isSourceLost = false;
  let renewalEndMs = -Infinity;
  let changes: DirectoryChange[] = [];

  function recordChange(endpoint: RegisteredEndpoint, change: DirectoryChange['change']): void {
    changes.push({ endpoint, change });
  }

  function handleRegistered(endpoint: RegisteredEndpoint): void {
    const known = entries.get(endpoint.id);
    if (known === undefined) recordChange(endpoint, 'added');
    // Guards against applying an earlier start's state to a new one: calls would be sent on
    // half-open connections, and a healthy endpoint would be avoided.
    else if (known.endpoint.startId !== endpoint.startId) recordChange(known.endpoint, 'restarted');
    else if (known.isLapsed) recordChange(endpoint, 'renewed');
    if (endpoint.isLeaving && known?.endpoint.isLeaving !== true) recordChange(endpoint, 'leaving');
    entries.set(endpoint.id, { endpoint, isLapsed: false });
  }

  function removeEntry(entry: Entry): void {
    entries.delete(entry.endpoint.id);
    recordChange(entry.endpoint, 'removed');
  }

  function handleRemoved(id: string, nowMs: number): void {
    const entry = entries.get(id);
    if (entry === undefined || entry.isLapsed) return;
    const isRenewalPossible = isSourceLost || nowMs < renewalEndMs;
    // Guards against emptying a pool whose entries lapsed during a registry outage while the
    // endpoints still answer.
    if (isRenewalPossible && !entry.endpoint.isLeaving) {
      entry.isLapsed = true;
      recordChange(entry.endpoint, 'lapsed');
      return;
    }
    removeEntry(entry);
  }

  /** Those that a list has are told right before it. */
  function recordUnreadable(message: DirectoryMessage): void {
    if (message.kind === 'unreadable') {
      unreadable.add(message.id);
      listedUnreadable.add(message.id);
      return;
    }
    if (message.kind === 'registered') unreadable.delete(message.endpoint.id);
    if (message.kind === 'removed') unreadable.delete(message.id);
    if (message.kind === 'listed') unreadable = new Set(listedUnreadable);
    listedUnreadable.clear();
  }

  /** Not kept like a lapsed entry: it was overwritten with something that is not an endpoint. */
  function handleUnreadable(id: string): void {
    const entry = entries.get(id);
    if (entry !== undefined) removeEntry(entry);
  }

  function handleListed(endpoints: readonly RegisteredEndpoint[], nowMs: number): void {
    const listed = new Set(endpoints.map(({ id }) => id));
    for (const endpoint of endpoints) handleRegistered(endpoint);
    for (const id of [...entries.keys()]) if (!listed.has(id)) handleRemoved(id, nowMs);
  }

  function handleTick(nowMs: number): void {
    if (isSourceLost || nowMs < renewalEndMs) return;
    for (const entry of [...entries.values()]) if (entry.isLapsed) removeEntry(entry);
  }

  function applyMessage(message: DirectoryMessage, nowMs: number): void {
    switch (message.kind) {
      case 'registered':
        handleRegistered(message.endpoint);
        break;
      case 'removed':
        handleRemoved(message.id, nowMs);
        break;
      case 'unreadable':
        handleUnreadable(message.id);
        break;
      case 'listed':
        handleListed(message.endpoints, nowMs);
        break;
      case 'source_lost':
        isSourceLost = true;
        break;
      case 'source_back':
        renewalEndMs = nowMs + RENEWAL_WINDOW_MS;
        isSourceLost = false;
        break;
      case 'renewing':
        // Guards against calls to removed endpoints while the registry refuses only this instance:
        // an endpoint that peers report as removed has not lapsed.
        isSourceLost = false;
        renewalEndMs = Math.max(renewalEndMs, nowMs + message.forMs);
        break;
      case 'tick':
        handleTick(nowMs);
        break;
      default:
        assertNever(message);
    }
  }

  function updateOpen(): void {
    servingByPool = new Map();
    startKeys = new Set([...entries.values()].map(({ endpoint }) => hashStartId(endpoint.startId)));
    for (const { endpoint } of entries.values()) addToPool(servingByPool, endpoint);
    openByPool = new Map();
    for (const [pool, endpoints] of servingByPool) {
      const usable = computeUsable(endpoints);
      servingByPool.set(pool, usable);
      openByPool.set(
        pool,
        usable.filter(({ isLeaving }) => !isLeaving),
      );
    }
  }

  return {
    handle(message, nowMs) {
      changes = [];
      recordUnreadable(message);
      applyMessage(message, nowMs);
      if (message.kind !== 'tick' || changes.length > 0) updateOpen();
      return changes;
    },
    listOpen: (pool) => openByPool.get(pool) ?? [],
    listServing: (pool) => servingByPool.get(pool) ?? [],
    hasStart: (start) => startKeys.has(start),
    find: (id) => entries.get(id)?.endpoint,
    hasUnreadable: () => unreadable.size > 0,
    isSourceLost: () => isSourceLost,
    computeRenewalLeft: (nowMs) => (isSourceLost ? 0 : Math.max(0, renewalEndMs - nowMs)),
    listAll: () => [...entries.values()].map(({ endpoint }) => endpoint),
  };
}
