/**
 * Decides which endpoints take requests, by what they said of themselves in their responses: the
 * registry, which may be out of reach, lists the others. Performs no I/O.
 */
import { hashStartId } from '../placement/remote-loads.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createAvailabilityLedger } from './availability-ledger.js';
import type { KnownNotice, NoticeChange } from './availability-ledger.js';
import type { AvailabilityNotice } from './availability-notice.js';

export interface AvailabilityObserver {
  onChanged(change: NoticeChange): void;
  /** A response asks for rest in a form that cannot be read. */
  onUnreadable(endpoint: RegisteredEndpoint, text: string): void;
}

export interface EndpointAvailabilityOptions {
  /** Endpoints of a pool that the registry lists as open; the same array until they change. */
  readonly listRegistered: (pool: string) => readonly RegisteredEndpoint[];
  readonly getNow: () => number;
  readonly observer: AvailabilityObserver;
}

export interface EndpointAvailability {
  /** Records what the head of an endpoint's response says. */
  recordAnswer(endpoint: RegisteredEndpoint, notice: AvailabilityNotice): void;
  /** Endpoints of a pool that take requests; every choice of an endpoint starts from these. */
  listOpen(pool: string): readonly RegisteredEndpoint[];
  isAvailable(endpoint: RegisteredEndpoint): boolean;
  /** Whether the endpoint said that it is leaving. */
  isLeaving(startId: string): boolean;
  /** Forgets a start of an endpoint that has ended. */
  remove(startId: string): void;
  /** Ends what is over. */
  advance(): void;
  list(): readonly KnownNotice[];
}

interface OpenEndpoints {
  readonly registered: readonly RegisteredEndpoint[];
  readonly version: number;
  readonly open: readonly RegisteredEndpoint[];
}

export function createEndpointAvailability(
  options: EndpointAvailabilityOptions,
): EndpointAvailability {
  const { getNow, observer } = options;
  const ledger = createAvailabilityLedger();
  /** Cached by pool, since every placement reads them. */
  const openByPool = new Map<string, OpenEndpoints>();

  function isLeaving(startId: string): boolean {
    return ledger.hasAny() && ledger.isLeaving(hashStartId(startId));
  }

  function isAvailable({ startId }: RegisteredEndpoint): boolean {
    return !isLeaving(startId);
  }

  function listOpen(pool: string): readonly RegisteredEndpoint[] {
    const registered = options.listRegistered(pool);
    if (!ledger.hasAny()) return registered;
    const version = ledger.getVersion();
    const known = openByPool.get(pool);
    if (known?.registered === registered && known.version === version) return known.open;
    const open = registered.filter(isAvailable);
    openByPool.set(pool, { registered, version, open });
    return open;
  }

  function recordChanges(changes: readonly (NoticeChange | undefined)[]): void {
    for (const change of changes) if (change !== undefined) observer.onChanged(change);
  }

  function recordRest(endpoint: EndpointKey, restMs: number): void {
    recordChanges([ledger.recordRest(endpoint, restMs, getNow())]);
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
    isLeaving,
    remove(startId) {
      if (ledger.hasAny()) recordChanges(ledger.remove(hashStartId(startId)));
    },
    advance() {
      if (ledger.hasAny()) recordChanges(ledger.removeExpired(getNow()));
    },
    list: () => ledger.list(),
  };
}
