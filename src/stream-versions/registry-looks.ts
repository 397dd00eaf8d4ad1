/**
 * Looks at the registry that are sent after they were asked for, so that what they tell covers all that
 * happened before. Calls that wait share them. Performs no I/O.
 */
import type { RegisteredEndpoint } from '../types/traffic.js';
import { hashName } from '../utils/hash.js';
import type { PoolKey } from './stream-binding.js';
import type { EndpointChanges } from './stream-row.js';

/** Shortest time between two looks. */
const LOOK_PERIOD_MS = 25;
/** Bounds the looks that all instances send together to 1,000 a second in the long run. */
const LOOK_PERIOD_PER_INSTANCE_MS = 1;
/** Looks that may be sent earlier than that allows. */
const LOOKS_AHEAD = 4;
/** Time without an answer after which a look counts as late: several times an answer of the store. */
export const LOOK_LATE_MS = 150;

/** What changed in the registry from a revision known to this instance until the look. */
export interface RegistryLook {
  readonly changes: EndpointChanges;
  /** Endpoints that were known when the look was sent. */
  readonly known: readonly RegisteredEndpoint[];
}

export type LookState =
  /** `isLate`: it was sent and should have been answered by now. */
  | { readonly kind: 'wait'; readonly isLate: boolean }
  | { readonly kind: 'failed' }
  | { readonly kind: 'seen'; readonly look: RegistryLook };

/** Names the looks that count for a request: those sent after it. */
export type LookTicket = number;

export interface RegistryLooksOptions {
  readonly getNow: () => number;
  readonly countInstances: () => number;
  /** Revision of the registry up to which all changes are known; 0 before its first list. */
  readonly getRevision: () => number;
  readonly listRegistered: () => readonly RegisteredEndpoint[];
  /** Reads the changes after a revision; hands on undefined if that fails. */
  readonly startRead: (
    revision: number,
    onEnded: (changes: EndpointChanges | undefined) => void,
  ) => void;
  readonly onEnded: () => void;
}

export interface RegistryLooks {
  /** Asks for a look, which is sent as soon as it is due. */
  request(): LookTicket;
  find(ticket: LookTicket): LookState;
  /** Whether the last look that ended has failed. */
  isFailing(): boolean;
  /** Sends a look if one is due. */
  advance(): void;
}

/**
 * Whether a version can have come and gone in the pool between what was known and the look, which tells only
 * the last of several changes to an endpoint.
 */
export function isPoolChanged({ changes, known }: RegistryLook, pool: PoolKey): boolean {
  const pools = new Map(known.map((endpoint) => [endpoint.id, hashName(endpoint.pool)]));
  const isOther = (endpoint: RegisteredEndpoint): boolean =>
    hashName(endpoint.pool) !== pool && pools.get(endpoint.id) === hashName(endpoint.pool);
  return changes.removed.length > 0 || !changes.present.every(isOther);
}

export function createRegistryLooks(options: RegistryLooksOptions): RegistryLooks {
  const { getNow } = options;
  let wanted: LookTicket = 0;
  /** Number of looks sent. */
  let sent = 0;
  let sentMs = -Infinity;
  /** When the looks sent so far are paid for, at the rate of the long run. */
  let paidMs = -Infinity;
  /** When the looks that have not ended were sent, by position. */
  const inFlight = new Map<number, number>();
  /** Positions of the last look that succeeded and of the last that failed. */
  let seenPosition = 0;
  let failedPosition = 0;
  let seenLook: RegistryLook | undefined;
  let hasFailed = false;

  function handleEnded(
    position: number,
    revision: number,
    known: readonly RegisteredEndpoint[],
    changes: EndpointChanges | undefined,
  ): void {
    inFlight.delete(position);
    // An answer from before the known revision tells nothing of the time after it.
    hasFailed = changes === undefined || changes.revision < revision;
    if (hasFailed) failedPosition = Math.max(failedPosition, position);
    else if (changes !== undefined && position > seenPosition) {
      seenPosition = position;
      seenLook = { changes, known };
    }
    options.onEnded();
  }

  function sendLook(): void {
    sent += 1;
    sentMs = getNow();
    const position = sent;
    inFlight.set(position, sentMs);
    const revision = options.getRevision();
    const known = options.listRegistered();
    options.startRead(revision, (changes) => handleEnded(position, revision, known, changes));
  }

  function advance(): void {
    if (wanted <= sent) return;
    const nowMs = getNow();
    const periodMs = options.countInstances() * LOOK_PERIOD_PER_INSTANCE_MS;
    if (nowMs - sentMs < LOOK_PERIOD_MS || paidMs - nowMs > LOOKS_AHEAD * periodMs) return;
    paidMs = Math.max(paidMs, nowMs) + periodMs;
    sendLook();
  }

  return {
    request() {
      const ticket = sent;
      wanted = sent + 1;
      advance();
      return ticket;
    },
    find(ticket) {
      if (seenLook !== undefined && seenPosition > ticket) return { kind: 'seen', look: seenLook };
      if (failedPosition > ticket) return { kind: 'failed' };
      const firstSentMs = inFlight.get(ticket + 1) ?? Infinity;
      return { kind: 'wait', isLate: getNow() - firstSentMs >= LOOK_LATE_MS };
    },
    isFailing: () => hasFailed,
    advance,
  };
}
