/**
 * A lease in a store with conditional writes, with a monotonically increasing fencing token.
 * Performs no I/O.
 *
 * Other participants consider the lease expired when its document has not changed for the lease
 * duration on their own monotonic clock, so clocks of different machines are never compared. The
 * holder measures from before it sent its last write, and suspends its grant if its wall and
 * monotonic clocks diverge, since a monotonic clock may stop while a machine is suspended.
 */
import { assertNever } from '../utils/assert-never.js';
import type { LeaseTimings } from './lease-timings.js';
import type { LeaseDocument, VersionedLease } from './lease-document.js';

/** Previous holders recorded in a document. */
const EARLIER_HOLDERS_MAX = 4;
/** Lost writes that are remembered, since each may still take effect. */
const UNACKNOWLEDGED_WRITES_MAX = 8;

/** Both clocks, read at the same time. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

export type WriteResult =
  /** `version`: the new version of the document. */
  | { readonly kind: 'written'; readonly version: number }
  /** The stored version differed; `lease`: the stored document, if the store returned it. */
  | { readonly kind: 'conflict'; readonly lease: VersionedLease | undefined }
  /** No response: the write may have been applied, or may still be. */
  | { readonly kind: 'lost' };

/** Input to a lease. */
export type LeaseMessage =
  /** If not wanted, a held lease is released: the holder must have no calls in flight. */
  | { readonly kind: 'tick'; readonly isWanted: boolean }
  /** `newestVersion`: upper bound of the versions at which this lease was ever written. */
  | {
      readonly kind: 'read';
      readonly lease: VersionedLease | undefined;
      readonly newestVersion: number;
    }
  | { readonly kind: 'written'; readonly writeId: string; readonly result: WriteResult }
  /** The process was paused, or its clocks diverged. */
  | { readonly kind: 'paused' };

/** Requests from a lease to its caller. */
export type LeaseCommand =
  | { readonly kind: 'read' }
  | { readonly kind: 'write'; readonly document: LeaseDocument; readonly expectedVersion: number };

/** Permission to act as the holder. */
export interface Grant {
  /** Fencing token: sent with each call; a higher token belongs to a later holder. */
  readonly fence: number;
  /** Time from now within which calls started now must have ended. */
  readonly remainingMs: number;
}

/** One participant in a lease. */
export interface Lease {
  handle(message: LeaseMessage, now: ClockReading): LeaseCommand[];
  /** Undefined if this participant must not start any call. */
  getGrant(now: ClockReading): Grant | undefined;
  /** The document last observed. */
  getLastDocument(): LeaseDocument | undefined;
}

export interface LeaseOptions {
  /** Machine name; a restarted process takes part under the same name. */
  readonly holder: string;
  readonly timings: LeaseTimings;
  readonly createWriteId: () => string;
  /**
   * Extra wait before a takeover, as a share (0 to 1) of the read interval.
   * @default 0
   */
  readonly computeJitter?: () => number;
}

interface SentWrite {
  readonly document: LeaseDocument;
  readonly expectedVersion: number;
  /** On the monotonic clock; minus infinity if that clock may have stopped since. */
  readonly sentMs: number;
}

interface HeldLease {
  readonly fence: number;
  readonly grantedMs: number;
  readonly usableFromMs: number;
}

interface ObservedLease {
  readonly lease: VersionedLease;
  readonly observedMs: number;
  /** Drawn per document, so that waiting participants do not take over at the same time. */
  readonly jitterMs: number;
}

/** Creates a participant that does not hold the lease. */
export function createLease({
  holder,
  timings,
  createWriteId,
  computeJitter = () => 0,
}: LeaseOptions): Lease {
  let observed: ObservedLease | undefined;
  let absentSinceMs: number | undefined;
  let newestVersion = 0;
  let pending: SentWrite | undefined;
  let unacknowledged: SentWrite[] = [];
  let held: HeldLease | undefined;
  let lastReadMs = -Infinity;
  /** When a read last found no document. */
  let lastAbsentReadMs = -Infinity;
  let lastWriteMs = -Infinity;
  let commands: LeaseCommand[] = [];
  /** Wall clock minus monotonic clock, when last checked. */
  let clockOffsetMs: number | undefined;

  function computeRemainingMs(now: ClockReading): number {
    if (held === undefined) return 0;
    const ageMs = now.monotonicMs - held.grantedMs;
    return timings.durationMs - timings.safetyMarginMs - ageMs;
  }

  /**
   * Suspends the grant until the next renewal if the clocks have diverged. The monotonic clock may
   * have stopped during a suspension, and a later step of the wall clock could hide it.
   */
  function checkClocks(now: ClockReading): void {
    const offsetMs = now.wallMs - now.monotonicMs;
    const driftMs = Math.abs(offsetMs - (clockOffsetMs ?? offsetMs));
    clockOffsetMs = offsetMs;
    if (driftMs > timings.safetyMarginMs / 2) handlePaused();
  }

  function postRead(now: ClockReading): void {
    lastReadMs = now.monotonicMs;
    commands.push({ kind: 'read' });
  }

  function postWrite(
    fields: Pick<LeaseDocument, 'fence' | 'earlier' | 'isReleased'>,
    now: ClockReading,
  ): void {
    const document: LeaseDocument = { holder, writeId: createWriteId(), ...fields };
    pending = { document, expectedVersion: observed?.lease.version ?? 0, sentMs: now.monotonicMs };
    lastWriteMs = now.monotonicMs;
    commands.push({ kind: 'write', document, expectedVersion: pending.expectedVersion });
  }

  function postRenewal(fence: number, isReleased: boolean, now: ClockReading): void {
    postWrite({ fence, earlier: observed?.lease.document.earlier ?? [], isReleased }, now);
  }

  /**
   * Derives the fencing token from the store's versions, which keep increasing if the document is
   * lost. Guards against reused tokens, which would let receivers accept outdated calls.
   */
  function postTakeover(now: ClockReading): void {
    const previous = observed?.lease.document;
    const fence = Math.max(newestVersion, observed?.lease.version ?? 0, previous?.fence ?? 0) + 1;
    const earlier = previous === undefined ? [] : [previous.holder, ...previous.earlier];
    postWrite({ fence, earlier: earlier.slice(0, EARLIER_HOLDERS_MAX), isReleased: false }, now);
  }

  /**
   * Whether the lease can be taken over. A released lease is free at once, except for its recent
   * holders. Guards against a machine that acts again right after its successor, which looks like
   * two concurrent holders.
   */
  function isFree(now: ClockReading): boolean {
    if (observed === undefined) {
      const absentMs = lastAbsentReadMs - (absentSinceMs ?? Infinity);
      return absentMs >= timings.absentMs && now.monotonicMs - lastAbsentReadMs <= timings.pollMs;
    }
    const { document } = observed.lease;
    const isReleasedByOther =
      document.isReleased && document.holder !== holder && !document.earlier.includes(holder);
    if (isReleasedByOther) return true;
    const expiryMs = timings.durationMs + timings.expiryMarginMs;
    return now.monotonicMs - observed.observedMs > expiryMs + observed.jitterMs;
  }

  function checkWriteTimeout(now: ClockReading): void {
    if (pending === undefined) return;
    if (now.monotonicMs - pending.sentMs < timings.storeTimeoutMs) return;
    unacknowledged = [pending, ...unacknowledged].slice(0, UNACKNOWLEDGED_WRITES_MAX);
    pending = undefined;
    postRead(now);
  }

  function postRelease({ fence }: HeldLease, now: ClockReading): void {
    held = undefined;
    postRenewal(fence, true, now);
  }

  function advanceHeld({ fence }: HeldLease, now: ClockReading): void {
    const isDue = now.monotonicMs - lastWriteMs >= timings.renewMs;
    if (isDue && observed !== undefined) postRenewal(fence, false, now);
    else if (computeRemainingMs(now) <= 0 && now.monotonicMs - lastReadMs >= timings.pollMs)
      postRead(now);
  }

  function handleTick(isWanted: boolean, now: ClockReading): void {
    checkWriteTimeout(now);
    if (pending !== undefined) return;
    if (held !== undefined) {
      if (isWanted) advanceHeld(held, now);
      else postRelease(held, now);
    } else if (isWanted && isFree(now)) postTakeover(now);
    else if (isWanted && now.monotonicMs - lastReadMs >= timings.pollMs) postRead(now);
  }

  function recordObserved(lease: VersionedLease, now: ClockReading): void {
    absentSinceMs = undefined;
    // Ignores stale reads, which would restart the expiry time.
    if (observed !== undefined && lease.version <= observed.lease.version) return;
    observed = { lease, observedMs: now.monotonicMs, jitterMs: computeJitter() * timings.pollMs };
  }

  function setHeld({ document, expectedVersion, sentMs }: SentWrite, now: ClockReading): void {
    if (document.isReleased) return;
    const isRenewal = held?.fence === document.fence;
    const takeoverDelayMs = expectedVersion === 0 ? 0 : timings.takeoverDelayMs;
    held = {
      fence: document.fence,
      grantedMs: sentMs,
      // Guards against an order of the previous holder that is still in flight to an engine that
      // does not check fencing tokens and would undo a newer one.
      usableFromMs: isRenewal ? (held?.usableFromMs ?? 0) : now.monotonicMs + takeoverDelayMs,
    };
  }

  /**
   * Applies a newly observed document; recognises writes of this participant whose response was
   * lost.
   */
  function handleDocument(lease: VersionedLease, now: ClockReading): void {
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
    { writeId, result }: Extract<LeaseMessage, { kind: 'written' }>,
    now: ClockReading,
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

  function handleRead(message: Extract<LeaseMessage, { kind: 'read' }>, now: ClockReading): void {
    newestVersion = Math.max(newestVersion, message.newestVersion);
    if (message.lease !== undefined) {
      handleDocument(message.lease, now);
      return;
    }
    // No document means no holder, unless the read is older than this participant's last write.
    if (observed !== undefined && message.newestVersion <= observed.lease.version) return;
    // The document counts as continuously missing only if reads succeeded throughout.
    const isContinuous =
      now.monotonicMs - lastAbsentReadMs <= 2 * timings.pollMs + timings.storeTimeoutMs;
    if (!isContinuous || absentSinceMs === undefined) absentSinceMs = now.monotonicMs;
    lastAbsentReadMs = now.monotonicMs;
    observed = undefined;
    held = undefined;
  }

  function handlePaused(): void {
    // Pending writes may have been applied, or may still be.
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
      return remainingMs > 0 ? { fence: held.fence, remainingMs } : undefined;
    },
    getLastDocument: () => observed?.lease.document,
  };
}
