/**
 * A lease in the platform's table with a fencing number that only grows, free of I/O.
 *
 * Others judge a lease lapsed when its item has not changed for longer than its length by their own
 * monotonic clock, so no two clocks are ever compared. The holder counts from before it sent its last
 * write, by the earlier verdict of both its clocks: a suspended machine's monotonic clock may stand
 * still, and a stepped wall clock may go back.
 */
import { assertNever } from '../utils/assert-never.js';

/** Length of a lease, in milliseconds. */
export const LEASE_MS = 6000;
/** The holder renews this often. */
const RENEW_MS = 2000;
/** Others wait this much longer than the length before they take over. */
const LAPSE_MARGIN_MS = 1500;
/** The holder stops this long before the end: time for one order to be on its way. */
const SAFETY_MS = 1000;
/** An order is answered or given up within this time, in milliseconds. */
export const ORDER_FLIGHT_MS = 3000;
/** How often others read the lease. */
const READ_MS = 2000;
/** A call without an answer after this long counts as lost, in milliseconds. */
const CALL_TIMEOUT_MS = 4000;

/** The lease's document. */
export interface LeaseDocument {
  readonly holder: string;
  readonly fence: number;
  /** Chosen anew for each write, so that a holder knows its own write again. */
  readonly writeId: string;
}

/** The lease as read, with its item version. */
export interface ReadLease {
  readonly version: number;
  readonly document: LeaseDocument;
}

/** The clocks at one moment. */
export interface Moment {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** What a lease is told. */
export type LeaseMessage =
  | { readonly kind: 'tick'; readonly isWanted: boolean }
  | { readonly kind: 'read'; readonly lease: ReadLease | undefined }
  | {
      readonly kind: 'written';
      readonly writeId: string;
      readonly ending: 'written' | 'conflict' | 'lost';
    }
  | { readonly kind: 'paused' };

/** What a lease asks for. */
export type LeaseCommand =
  | { readonly kind: 'read' }
  | { readonly kind: 'write'; readonly document: LeaseDocument; readonly expectedVersion: number };

/** One instance's part in a lease. */
export interface Lease {
  handle(message: LeaseMessage, now: Moment): LeaseCommand[];
  /** The fencing number to order with now, or undefined if nothing may be ordered. */
  getFence(now: Moment): number | undefined;
}

interface Write {
  readonly document: LeaseDocument;
  readonly expectedVersion: number;
  readonly sent: Moment;
}

interface Held {
  readonly fence: number;
  readonly since: Moment;
  readonly ordersFromMs: number;
}

/** Builds an instance's part in a lease that it does not hold. */
export function createLease(holder: string, createWriteId: () => string): Lease {
  let seen: { lease: ReadLease; sinceMs: number } | undefined;
  let isAbsent = false;
  let pending: Write | undefined;
  let held: Held | undefined;
  let readMs = -Infinity;
  let commands: LeaseCommand[] = [];

  function isValid(now: Moment): boolean {
    if (held === undefined) return false;
    const validMs = LEASE_MS - SAFETY_MS;
    const monotonicAge = now.monotonicMs - held.since.monotonicMs;
    const wallAge = now.wallMs - held.since.wallMs;
    return monotonicAge < validMs && wallAge < validMs && wallAge > -SAFETY_MS;
  }

  function postWrite(fence: number, expectedVersion: number, now: Moment): void {
    const document = { holder, fence, writeId: createWriteId() };
    pending = { document, expectedVersion, sent: now };
    commands.push({ kind: 'write', document, expectedVersion });
  }

  function isLapsed(now: Moment): boolean {
    if (seen === undefined) return isAbsent;
    return now.monotonicMs - seen.sinceMs > LEASE_MS + LAPSE_MARGIN_MS;
  }

  function handleTick(isWanted: boolean, now: Moment): void {
    if (pending !== undefined) {
      if (now.monotonicMs - pending.sent.monotonicMs < CALL_TIMEOUT_MS) return;
      pending = undefined;
    }
    if (isValid(now) && held !== undefined) {
      const isDue = now.monotonicMs - held.since.monotonicMs >= RENEW_MS;
      if (isWanted && isDue && seen !== undefined) postWrite(held.fence, seen.lease.version, now);
      return;
    }
    held = undefined;
    if (isWanted && isLapsed(now)) {
      postWrite((seen?.lease.document.fence ?? 0) + 1, seen?.lease.version ?? 0, now);
    } else if (now.monotonicMs - readMs >= READ_MS) {
      readMs = now.monotonicMs;
      commands.push({ kind: 'read' });
    }
  }

  function recordSeen(lease: ReadLease, now: Moment): void {
    isAbsent = false;
    // An older version is a stale read: taking it for a change would only delay a takeover.
    if (seen !== undefined && lease.version <= seen.lease.version) return;
    seen = { lease, sinceMs: now.monotonicMs };
  }

  function handleWritten(message: Extract<LeaseMessage, { kind: 'written' }>, now: Moment): void {
    const write = pending;
    if (write === undefined || write.document.writeId !== message.writeId) return;
    pending = undefined;
    if (message.ending !== 'written') {
      // Lost or overtaken: not held until a later write is known to be ours.
      if (message.ending === 'conflict') held = undefined;
      readMs = now.monotonicMs;
      commands.push({ kind: 'read' });
      return;
    }
    const isRenewal = held?.fence === write.document.fence;
    const isFirstEver = write.expectedVersion === 0;
    recordSeen({ version: write.expectedVersion + 1, document: write.document }, now);
    held = {
      fence: write.document.fence,
      since: write.sent,
      // Guards against an order of the last holder still on its way to an engine that ignores
      // fencing numbers: it shows as an old order undoing a new one. By then it has arrived.
      ordersFromMs: isRenewal
        ? (held?.ordersFromMs ?? 0)
        : now.monotonicMs + (isFirstEver ? 0 : ORDER_FLIGHT_MS),
    };
  }

  function handleRead(lease: ReadLease | undefined, now: Moment): void {
    if (lease === undefined) {
      isAbsent = seen === undefined;
      return;
    }
    recordSeen(lease, now);
    if (held !== undefined && lease.document.fence > held.fence) held = undefined;
  }

  return {
    handle(message, now) {
      commands = [];
      switch (message.kind) {
        case 'tick':
          handleTick(message.isWanted, now);
          break;
        case 'read':
          handleRead(message.lease, now);
          break;
        case 'written':
          handleWritten(message, now);
          break;
        case 'paused':
          // Whatever was pending belongs to the time before the pause.
          pending = undefined;
          held = undefined;
          break;
        default:
          assertNever(message);
      }
      return commands;
    },
    getFence(now) {
      if (!isValid(now) || held === undefined) return undefined;
      return now.monotonicMs >= held.ordersFromMs ? held.fence : undefined;
    },
  };
}
