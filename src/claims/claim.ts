/**
 * State machine of the claim of one non-repeatable request; does no I/O. A conditional insert
 * decides which attempt may run it. An attempt proceeds only if the table confirms that the claim
 * is its own; in case of doubt it is not sent.
 *
 * An existing claim is taken over only with proof that its attempt will never run: the table marks
 * it as free, the instance that holds it has abandoned it, or it is older than the retention, which
 * far exceeds the time an attempt has between claiming and sending.
 */
import { OUTCOME, FAILURE } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';
import { assertNever } from '../utils/assert-never.js';
import { CLAIM_RETENTION_MS, CLAIM_STATE } from './claim-document.js';
import type { ClaimDocument, StoredAnswer } from './claim-document.js';

/** Time after the start within which an attempt must be sent, by both clocks. */
export const CLAIM_SEND_WINDOW_MS = 60_000;
const RETRY_AFTER_MS = 1000;

export type WriteResult = 'written' | 'conflict' | 'rejected' | 'ambiguous';

/** What another instance reports about its attempt. */
export type AttemptVerdict = 'abandoned' | 'sent' | 'unknown';

/** A stored claim with its item version. */
export interface ReadClaim {
  readonly version: number;
  readonly document: ClaimDocument;
}

export type ClaimMessage =
  | { readonly kind: 'start'; readonly monotonicMs: number; readonly wallMs: number }
  | { readonly kind: 'inserted'; readonly result: WriteResult }
  | { readonly kind: 'read'; readonly claim: ReadClaim | undefined; readonly wallMs: number }
  | { readonly kind: 'read_failed' }
  | { readonly kind: 'answered'; readonly verdict: AttemptVerdict }
  | { readonly kind: 'taken_over'; readonly result: WriteResult };

/** Commands to the caller; `proceed`, `replay` and `refuse` end the claim. */
export type ClaimCommand =
  | { readonly kind: 'insert'; readonly document: ClaimDocument }
  | { readonly kind: 'read' }
  | { readonly kind: 'query'; readonly entry: string; readonly attemptId: string }
  | {
      readonly kind: 'take_over';
      readonly document: ClaimDocument;
      readonly expectedVersion: number;
    }
  | { readonly kind: 'proceed'; readonly version: number }
  | { readonly kind: 'replay'; readonly answer: StoredAnswer }
  | { readonly kind: 'refuse'; readonly failure: RequestFailure };

export interface ClaimOptions {
  readonly attemptId: string;
  readonly entry: string;
  readonly bodyHash: string;
}

export interface Claim {
  handle(message: ClaimMessage): ClaimCommand;
  /** Whether the attempt may still be sent, by both clocks. */
  isFresh(monotonicMs: number, wallMs: number): boolean;
  buildDocument(state: ClaimDocument['state'], answer?: StoredAnswer): ClaimDocument;
}

export function createClaim(options: ClaimOptions): Claim {
  const { attemptId, entry, bodyHash } = options;
  let startedMonotonicMs = 0;
  let startedWallMs = 0;
  /** The write whose result is unknown. */
  let ambiguousWrite: { kind: 'insert' } | { kind: 'take_over'; version: number } | undefined;
  let existingClaim: ReadClaim | undefined;

  function buildDocument(state: ClaimDocument['state'], answer?: StoredAnswer): ClaimDocument {
    const document = { attemptId, entry, bodyHash, state, claimedWallMs: startedWallMs };
    return answer === undefined ? document : { ...document, answer };
  }

  function refuseUnconfirmed(): ClaimCommand {
    return {
      kind: 'refuse',
      failure: {
        type: FAILURE.ClaimUnavailable,
        message:
          'the platform cannot confirm that this request runs once, so it was not run; send it again with the same Idempotency-Key',
        outcome: OUTCOME.NotRun,
        retryAfterMs: RETRY_AFTER_MS,
      },
    };
  }

  function refuseInUse(): ClaimCommand {
    return {
      kind: 'refuse',
      failure: {
        type: FAILURE.IdempotencyKeyInUse,
        message:
          'a request with this Idempotency-Key was accepted before and may have run; check its effect, or ask again later for its answer',
        outcome: OUTCOME.MayHaveRun,
        retryAfterMs: RETRY_AFTER_MS,
      },
    };
  }

  function takeOver(claim: ReadClaim): ClaimCommand {
    existingClaim = claim;
    return {
      kind: 'take_over',
      document: buildDocument(CLAIM_STATE.Claimed),
      expectedVersion: claim.version,
    };
  }

  function handleExistingClaim(claim: ReadClaim, wallMs: number): ClaimCommand {
    const { document } = claim;
    const isExpired = wallMs - document.claimedWallMs > CLAIM_RETENTION_MS;
    if (isExpired) return takeOver(claim);
    if (document.bodyHash !== bodyHash) {
      return {
        kind: 'refuse',
        failure: {
          type: FAILURE.IdempotencyKeyReused,
          message:
            'this Idempotency-Key was used with another body; this request was not run; use a new key for it',
          outcome: OUTCOME.NotRun,
        },
      };
    }
    switch (document.state) {
      case CLAIM_STATE.Free:
        return takeOver(claim);
      case CLAIM_STATE.Done:
        return document.answer === undefined
          ? refuseInUse()
          : { kind: 'replay', answer: document.answer };
      case CLAIM_STATE.Unknown:
        return refuseInUse();
      case CLAIM_STATE.Claimed:
        existingClaim = claim;
        return { kind: 'query', entry: document.entry, attemptId: document.attemptId };
      default:
        return assertNever(document.state);
    }
  }

  function handleRead(claim: ReadClaim | undefined, wallMs: number): ClaimCommand {
    // Absent after an ambiguous insert, which may still be applied: this attempt must not proceed.
    if (claim === undefined) return refuseUnconfirmed();
    if (claim.document.attemptId === attemptId) return { kind: 'proceed', version: claim.version };
    // An ambiguous takeover may still be applied after this read: stop here.
    if (ambiguousWrite !== undefined)
      return ambiguousWrite.kind === 'insert'
        ? handleExistingClaim(claim, wallMs)
        : refuseUnconfirmed();
    return handleExistingClaim(claim, wallMs);
  }

  function handleWrite(
    result: WriteResult,
    write: NonNullable<typeof ambiguousWrite>,
  ): ClaimCommand {
    switch (result) {
      case 'written':
        return { kind: 'proceed', version: write.kind === 'insert' ? 1 : write.version + 1 };
      case 'conflict':
        if (write.kind === 'take_over') return refuseInUse();
        return { kind: 'read' };
      case 'ambiguous':
        ambiguousWrite = write;
        return { kind: 'read' };
      case 'rejected':
        return refuseUnconfirmed();
      default:
        return assertNever(result);
    }
  }

  return {
    handle(message) {
      switch (message.kind) {
        case 'start':
          startedMonotonicMs = message.monotonicMs;
          startedWallMs = message.wallMs;
          return { kind: 'insert', document: buildDocument(CLAIM_STATE.Claimed) };
        case 'inserted':
          return handleWrite(message.result, { kind: 'insert' });
        case 'taken_over':
          return handleWrite(message.result, {
            kind: 'take_over',
            version: existingClaim?.version ?? 0,
          });
        case 'read':
          return handleRead(message.claim, message.wallMs);
        case 'read_failed':
          return refuseUnconfirmed();
        case 'answered':
          if (message.verdict !== 'abandoned' || existingClaim === undefined) return refuseInUse();
          return takeOver(existingClaim);
        default:
          return assertNever(message);
      }
    },
    isFresh(monotonicMs, wallMs) {
      // A suspension may stop the monotonic clock, and the wall clock may be set back.
      const isMonotonicFresh = monotonicMs - startedMonotonicMs < CLAIM_SEND_WINDOW_MS;
      const isWallFresh = Math.abs(wallMs - startedWallMs) < CLAIM_SEND_WINDOW_MS;
      return isMonotonicFresh && isWallFresh;
    },
    buildDocument,
  };
}
