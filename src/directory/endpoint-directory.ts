/**
 * The endpoints that may get new calls, free of I/O, from what a registry says of them. An endpoint
 * that is leaving or whose entry was removed gets no new call. Entries that lapse while the registry
 * is away are kept until it has been back for a moment: the endpoints renew them then.
 */
import type { RegisteredEndpoint } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';

/** An endpoint that lives has renewed its entry this long after the registry's return, in milliseconds: the platform's promise. */
export const RENEWAL_WINDOW_MS = 2000;

/** What the directory is told. */
export type DirectoryMessage =
  | { readonly kind: 'registered'; readonly endpoint: RegisteredEndpoint }
  | { readonly kind: 'removed'; readonly id: string }
  /** The entry is there and names no endpoint that could be used. */
  | { readonly kind: 'unreadable'; readonly id: string }
  /** Everything that is registered; what is not in it was removed. */
  | { readonly kind: 'listed'; readonly endpoints: readonly RegisteredEndpoint[] }
  | { readonly kind: 'source_lost' }
  | { readonly kind: 'source_back' }
  /** The registry answers another instance, which tells what it says: entries may still be renewed this long. */
  | { readonly kind: 'renewing'; readonly forMs: number }
  | { readonly kind: 'tick' };

/** What changed for whom. */
export interface DirectoryChange {
  /** As it was known before the change; for `added`, `leaving` and `renewed` as it is known now. */
  readonly endpoint: RegisteredEndpoint;
  readonly change: 'added' | 'leaving' | 'lapsed' | 'renewed' | 'restarted' | 'removed';
}

/** The directory of one process. */
export interface EndpointDirectory {
  handle(message: DirectoryMessage, nowMs: number): DirectoryChange[];
  /** Endpoints of a pool that may get new calls. */
  listOpen(pool: string): readonly RegisteredEndpoint[];
  find(id: string): RegisteredEndpoint | undefined;
  listAll(): readonly RegisteredEndpoint[];
  /** For how many more milliseconds lapsed entries may be renewed; 0 while the registry is away or has long been back. */
  computeRenewalLeft(nowMs: number): number;
}

interface Entry {
  endpoint: RegisteredEndpoint;
  /** Its registration lapsed while the registry was away. */
  isLapsed: boolean;
}

/** Builds an empty directory. */
export function createEndpointDirectory(): EndpointDirectory {
  const entries = new Map<string, Entry>();
  let openByPool = new Map<string, RegisteredEndpoint[]>();
  let isSourceLost = false;
  /** Lapsed entries may be renewed until then. */
  let renewalEndMs = -Infinity;
  let changes: DirectoryChange[] = [];

  function recordChange(endpoint: RegisteredEndpoint, change: DirectoryChange['change']): void {
    changes.push({ endpoint, change });
  }

  function handleRegistered(endpoint: RegisteredEndpoint): void {
    const known = entries.get(endpoint.id);
    if (known === undefined) recordChange(endpoint, 'added');
    // Guards against believing of a new start what was seen of the one before: it shows as calls sent
    // on connections that the crash left half open, and as a sound endpoint that is passed over.
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
    // Guards against emptying a pool whose entries lapsed with the registry: it shows as every
    // endpoint vanishing at the registry's return although all of them answer.
    if (isRenewalPossible && !entry.endpoint.isLeaving) {
      entry.isLapsed = true;
      recordChange(entry.endpoint, 'lapsed');
      return;
    }
    removeEntry(entry);
  }

  /** Not kept like a lapsed entry: somebody wrote that there is nothing to use under this id. */
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
        // Guards against endpoints that are gone and still get calls of an instance which the registry
        // turns away while it serves the others: what they tell was removed, not lapsed.
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
    openByPool = new Map();
    for (const { endpoint } of entries.values()) {
      if (!endpoint.isLeaving) {
        const open = openByPool.get(endpoint.pool) ?? [];
        open.push(endpoint);
        openByPool.set(endpoint.pool, open);
      }
    }
  }

  return {
    handle(message, nowMs) {
      changes = [];
      applyMessage(message, nowMs);
      if (message.kind !== 'tick' || changes.length > 0) updateOpen();
      return changes;
    },
    listOpen: (pool) => openByPool.get(pool) ?? [],
    find: (id) => entries.get(id)?.endpoint,
    computeRenewalLeft: (nowMs) => (isSourceLost ? 0 : Math.max(0, renewalEndMs - nowMs)),
    listAll: () => [...entries.values()].map(({ endpoint }) => endpoint),
  };
}
