/**
 * A lease in a store that writes under conditions, with a fencing number that only grows, free of I/O.
 *
 * Others judge a lease lapsed when its document has not changed for longer than its length by their own
 * monotonic clock, so no two clocks are ever compared. The holder counts by its own from before it sent
 * its last write, and doubts it once its wall clock parts from it: a suspended machine's monotonic clock
 * may stand still.
 */
import { assertNever } from '../utils/assert-never.js';
import type { LeaseBounds } from './lease-bounds.js';
import type { LeaseDocument, ReadLease } from './lease-document.js';

/** Former holders that a document names. */
const EARLIER_HOLDERS_MAX = 4;
/** Writes without an answer that are remembered: each may take effect late. */
const UNACKNOWLEDGED_WRITES_MAX = 8;

/** The clocks at one moment. */
export interface Moment {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** How a write ended. */
export type WriteResult =
  /** `version`: the document's, now. */
  | { readonly kind: 'written'; readonly version: number }
  /** The document was at another version; `lease`: as it is, where the store says. */
  | { readonly kind: 'conflict'; readonly lease: ReadLease | undefined }
  /** No answer: it may have been done, or may be done later. */
  | { readonly kind: 'lost' };

/** What a lease is told. */
export type LeaseMessage =
  /** Who holds the lease and does not want it any more gives it up: nothing may be on its way then. */
  | { readonly kind: 'tick'; readonly isWanted: boolean }
  /** `newestVersion`: no document of this lease was ever written at a later one. */
  | {
      readonly kind: 'read';
      readonly lease: ReadLease | undefined;
      readonly newestVersion: number;
    }
  | { readonly kind: 'written'; readonly writeId: string; readonly ending: WriteResult }
  /** The process did not run, or its clocks parted. */
  | { readonly kind: 'paused' };

/** What a lease asks for. */
export type LeaseCommand =
  | { readonly kind: 'read' }
  | { readonly kind: 'write'; readonly document: LeaseDocument; readonly expectedVersion: number };

/** What the holder may do now. */
export interface Grant {
  /** Goes with each call; of two calls the one with the higher number is the later. */
  readonly fence: number;
  /** Whatever is begun has to have ended after this long, in milliseconds. */
  readonly leftMs: number;
}

/** One instance's part in a lease. */
export interface Lease {
  handle(message: LeaseMessage, now: Moment): LeaseCommand[];
  /** Undefined where nothing may be begun. */
  getGrant(now: Moment): Grant | undefined;
  /** The document that was seen last. */
  getLastDocument(): LeaseDocument | undefined;
}

/** What an instance's part is built on. */
export interface LeaseOptions {
  /** The machine: a process that starts again there takes part under the same name. */
  readonly holder: string;
  readonly bounds: LeaseBounds;
  readonly createWriteId: () => string;
  /**
   * How much longer this instance waits before it takes over, from 0 to 1 of a reading's period.
   * @default 0
   */
  readonly drawDelay?: () => number;
}

interface SentWrite {
  readonly document: LeaseDocument;
  readonly expectedVersion: number;
  /** On the monotonic clock; long ago where that clock may have stood still since. */
  readonly sentMs: number;
}

interface HeldLease {
  readonly fence: number;
  readonly grantedMs: number;
  readonly usableFromMs: number;
}

interface ObservedLease {
  readonly lease: ReadLease;
  readonly observedMs: number;
  /** Drawn for each document, so that those who wait do not ask at one moment. */
  readonly jitterMs: number;
}

/** Builds an instance's part in a lease that it does not hold. */
export function createLease({
  holder,
  bounds: timings,
  createWriteId,
  drawDelay: computeJitter = () => 0,
}: LeaseOptions): Lease {
  let observed: ObservedLease | undefined;
  let absentSinceMs: number | undefined;
  let newestVersion = 0;
  let pending: SentWrite | undefined;
  let unacknowledged: SentWrite[] = [];
  let held: HeldLease | undefined;
  let lastReadMs = -Infinity;
  /** When a reading last found no document. */
  let lastAbsentReadMs = -Infinity;
  let lastWriteMs = -Infinity;
  let commands: LeaseCommand[] = [];
  /** Of the wall clock from the monotonic one, at the last look. */
  let clockOffsetMs: number | undefined;

  function computeRemainingMs(now: Moment): number {
    if (held === undefined) return 0;
    const ageMs = now.monotonicMs - held.grantedMs;
    return timings.lengthMs - timings.safetyMs - ageMs;
  }

  /**
   * Doubts the grant until the next renewal once the clocks have parted: after a suspension the monotonic
   * clock says too little, and a later step of the time of day would hide it again.
   */
  function checkClocks(now: Moment): void {
    const offsetMs = now.wallMs - now.monotonicMs;
    const driftMs = Math.abs(offsetMs - (clockOffsetMs ?? offsetMs));
    clockOffsetMs = offsetMs;
    if (driftMs > timings.safetyMs / 2) handlePaused();
  }

  function postRead(now: Moment): void {
    lastReadMs = now.monotonicMs;
    commands.push({ kind: 'read' });
  }

  function postWrite(
    fields: Pick<LeaseDocument, 'fence' | 'earlier' | 'isReleased'>,
    now: Moment,
  ): void {
    const document: LeaseDocument = { holder, writeId: createWriteId(), ...fields };
    pending = { document, expectedVersion: observed?.lease.version ?? 0, sentMs: now.monotonicMs };
    lastWriteMs = now.monotonicMs;
    commands.push({ kind: 'write', document, expectedVersion: pending.expectedVersion });
  }

  function postRenewal(fence: number, isReleased: boolean, now: Moment): void {
    postWrite({ fence, earlier: observed?.lease.document.earlier ?? [], isReleased }, now);
  }

  /**
   * Numbers are drawn from the versions of the store, which grow by themselves. Guards against numbers
   * that begin anew after the document was lost: engines and others would take old orders for new ones.
   */
  function postTakeover(now: Moment): void {
    const previous = observed?.lease.document;
    const fence = Math.max(newestVersion, observed?.lease.version ?? 0, previous?.fence ?? 0) + 1;
    const earlier = previous === undefined ? [] : [previous.holder, ...previous.earlier];
    postWrite({ fence, earlier: earlier.slice(0, EARLIER_HOLDERS_MAX), isReleased: false }, now);
  }

  /**
   * Whether the document may be replaced. One that was given up is free at once, but not for those who
   * held it lately. Guards against a machine that acts again right after its successor: who watches from
   * outside sees two holders at one time.
   */
  function isFree(now: Moment): boolean {
    if (observed === undefined) {
      const absentMs = lastAbsentReadMs - (absentSinceMs ?? Infinity);
      return absentMs >= timings.absentMs && now.monotonicMs - lastAbsentReadMs <= timings.readMs;
    }
    const { document } = observed.lease;
    const isReleasedByOther =
      document.isReleased && document.holder !== holder && !document.earlier.includes(holder);
    if (isReleasedByOther) return true;
    const expiryMs = timings.lengthMs + timings.lapseMarginMs;
    return now.monotonicMs - observed.observedMs > expiryMs + observed.jitterMs;
  }

  function checkWriteTimeout(now: Moment): void {
    if (pending === undefined) return;
    if (now.monotonicMs - pending.sentMs < timings.callTimeoutMs) return;
    unacknowledged = [pending, ...unacknowledged].slice(0, UNACKNOWLEDGED_WRITES_MAX);
    pending = undefined;
    postRead(now);
  }

  function postRelease({ fence }: HeldLease, now: Moment): void {
    held = undefined;
    postRenewal(fence, true, now);
  }

  function advanceHeld({ fence }: HeldLease, now: Moment): void {
    const isDue = now.monotonicMs - lastWriteMs >= timings.renewMs;
    if (isDue && observed !== undefined) postRenewal(fence, false, now);
    else if (computeRemainingMs(now) <= 0 && now.monotonicMs - lastReadMs >= timings.readMs)
      postRead(now);
  }

  function handleTick(isWanted: boolean, now: Moment): void {
    checkWriteTimeout(now);
    if (pending !== undefined) return;
    if (held !== undefined) {
      if (isWanted) advanceHeld(held, now);
      else postRelease(held, now);
    } else if (isWanted && isFree(now)) postTakeover(now);
    else if (isWanted && now.monotonicMs - lastReadMs >= timings.readMs) postRead(now);
  }

  function recordObserved(lease: ReadLease, now: Moment): void {
    absentSinceMs = undefined;
    // An older version is a stale read: taking it for a change would only delay a takeover.
    if (observed !== undefined && lease.version <= observed.lease.version) return;
    observed = { lease, observedMs: now.monotonicMs, jitterMs: computeJitter() * timings.readMs };
  }

  function setHeld({ document, expectedVersion, sentMs }: SentWrite, now: Moment): void {
    if (document.isReleased) return;
    const isRenewal = held?.fence === document.fence;
    const takeoverDelayMs = expectedVersion === 0 ? 0 : timings.settlingMs;
    held = {
      fence: document.fence,
      grantedMs: sentMs,
      // Guards against an order of the last holder still on its way to an engine that ignores
      // fencing numbers: it shows as an old order undoing a new one. By then it has arrived.
      usableFromMs: isRenewal ? (held?.usableFromMs ?? 0) : now.monotonicMs + takeoverDelayMs,
    };
  }

  /** Takes a document as the newest; one that this instance wrote without an answer is its own. */
  function handleDocument(lease: ReadLease, now: Moment): void {
    const isNewer = observed === undefined || lease.version > observed.lease.version;
    recordObserved(lease, now);
    if (!isNewer) return;
    const ownWrite = unacknowledged.find(
      ({ document }) => document.writeId === lease.document.writeId,
    );
    if (ownWrite !== undefined) setHeld(ownWrite, now);
    else if (lease.document.fence !== held?.fence) held = undefined;
  }

  function handleWritten(
    { writeId, ending: result }: Extract<LeaseMessage, { kind: 'written' }>,
    now: Moment,
  ): void {
    if (pending?.document.writeId !== writeId) return;
    const write = pending;
    pending = undefined;
    switch (result.kind) {
      case 'written':
        recordObserved({ version: result.version, document: write.document }, now);
        setHeld(write, now);
        break;
      case 'conflict':
        if (result.lease === undefined) postRead(now);
        else handleDocument(result.lease, now);
        break;
      case 'lost':
        unacknowledged = [write, ...unacknowledged].slice(0, UNACKNOWLEDGED_WRITES_MAX);
        postRead(now);
        break;
      default:
        assertNever(result);
    }
  }

  function handleRead(message: Extract<LeaseMessage, { kind: 'read' }>, now: Moment): void {
    newestVersion = Math.max(newestVersion, message.newestVersion);
    if (message.lease !== undefined) {
      handleDocument(message.lease, now);
      return;
    }
    // A document that is gone belongs to nobody; a read that lags behind an own write says nothing.
    if (observed !== undefined && message.newestVersion <= observed.lease.version) return;
    // What was read before a time without any answer says nothing of that time.
    const isContinuous =
      now.monotonicMs - lastAbsentReadMs <= 2 * timings.readMs + timings.callTimeoutMs;
    if (!isContinuous || absentSinceMs === undefined) absentSinceMs = now.monotonicMs;
    lastAbsentReadMs = now.monotonicMs;
    observed = undefined;
    held = undefined;
  }

  function handlePaused(): void {
    // What was on its way belongs to the time before: it may have been done, or may be done later.
    const writes = pending === undefined ? unacknowledged : [pending, ...unacknowledged];
    unacknowledged = writes
      .slice(0, UNACKNOWLEDGED_WRITES_MAX)
      .map((write) => ({ ...write, sentMs: -Infinity }));
    pending = undefined;
    if (held !== undefined) held = { ...held, grantedMs: -Infinity };
  }

  return {
    handle(message, now) {
      commands = [];
      checkClocks(now);
      switch (message.kind) {
        case 'tick':
          handleTick(message.isWanted, now);
          break;
        case 'read':
          handleRead(message, now);
          break;
        case 'written':
          handleWritten(message, now);
          break;
        case 'paused':
          handlePaused();
          break;
        default:
          assertNever(message);
      }
      return commands;
    },
    getGrant(now) {
      checkClocks(now);
      if (held === undefined || now.monotonicMs < held.usableFromMs) return undefined;
      const remainingMs = computeRemainingMs(now);
      return remainingMs > 0 ? { fence: held.fence, leftMs: remainingMs } : undefined;
    },
    getLastDocument: () => observed?.lease.document,
  };
}
