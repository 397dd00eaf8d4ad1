/** The stored document of a request that may run at most once. */
import type { ItemKey } from '../storage/table-client.js';
import { hashText } from '../utils/hash.js';

/** Recorded progress of a claimed request. */
export const CLAIM_STATE = {
  /** Claimed by an attempt that may run at any time or may have run. */
  Claimed: 'claimed',
  /** Proved not to have run; another attempt may take it over. */
  Free: 'free',
  /** Completed; the answer is kept for replay. */
  Done: 'done',
  /** Sent, with unknown outcome. */
  Unknown: 'unknown',
} as const;
export type ClaimState = (typeof CLAIM_STATE)[keyof typeof CLAIM_STATE];

export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export interface ClaimDocument {
  readonly attemptId: string;
  /** The instance that holds the attempt. */
  readonly entry: string;
  readonly bodyHash: string;
  readonly state: ClaimState;
  /** Wall clock of the claimant at the start, in milliseconds since the epoch. */
  readonly claimedWallMs: number;
  /** Present if the request is done and the answer small enough to keep. */
  readonly answer?: StoredAnswer;
}

/** After this time the same key identifies a new request. */
export const CLAIM_RETENTION_MS = 86_400_000;
/** Longest answer kept for replay, in characters. */
export const STORED_ANSWER_MAX_CHARS = 65_536;

/** Keys of different organisations are separate. */
export function buildClaimKey(organisation: string, idempotencyKey: string): ItemKey {
  return { partition: `claim|${organisation}|${hashText(idempotencyKey)}`, sort: 'claim' };
}
