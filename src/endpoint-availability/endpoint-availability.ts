/** Knows which endpoints said in their responses that they are leaving or want rest. Performs no I/O. */
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
  readonly getNow: () => number;
  readonly observer: AvailabilityObserver;
}

export interface EndpointAvailability {
  /** Records what the head of an endpoint's response says. */
  recordAnswer(endpoint: RegisteredEndpoint, notice: AvailabilityNotice): void;
  /** Forgets a start of an endpoint that has ended. */
  remove(startId: string): void;
  /** Ends what is over. */
  advance(): void;
  list(): readonly KnownNotice[];
}

export function createEndpointAvailability(
  options: EndpointAvailabilityOptions,
): EndpointAvailability {
  const { getNow, observer } = options;
  const ledger = createAvailabilityLedger();

  function recordChanges(changes: readonly (NoticeChange | undefined)[]): void {
    for (const change of changes) if (change !== undefined) observer.onChanged(change);
  }

  function recordRest(endpoint: EndpointKey, restMs: number): void {
    recordChanges([ledger.recordRest(endpoint, restMs, getNow())]);
  }

  return {
    recordAnswer(endpoint, { isLeaving, rest }) {
      const key = hashStartId(endpoint.startId);
      if (isLeaving) recordChanges([ledger.recordLeaving(key, getNow())]);
      if (rest.kind === 'rest') recordRest(key, rest.restMs);
      if (rest.kind === 'unreadable') observer.onUnreadable(endpoint, rest.text);
    },
    remove(startId) {
      if (ledger.hasAny()) recordChanges(ledger.remove(hashStartId(startId)));
    },
    advance() {
      if (ledger.hasAny()) recordChanges(ledger.removeExpired(getNow()));
    },
    list: () => ledger.list(),
  };
}
