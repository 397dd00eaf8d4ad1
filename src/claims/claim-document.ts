/** What the platform's table keeps for one request that may run at most once. */
import type { ItemKey } from '../storage/table-client.js';
import { hashText } from '../utils/hash.js';

/** How far a claimed request got, as far as the table knows. */
export const CLAIM_STATE = {
  /** Claimed by an attempt; it may run at any moment, or have run. */
  Claimed: 'claimed',
  /** Proved not to have run; the next attempt may take it over. */
  Free: 'free',
  /** Ran to its end; the answer is kept for replay. */
  Done: 'done',
  /** Was sent, and how it ended is not known. */
  Unknown: 'unknown',
} as const;
export type ClaimState = (typeof CLAIM_STATE)[keyof typeof CLAIM_STATE];

/** An answer kept for replay. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** The document of one claim. */
export interface ClaimDocument {
  readonly attemptId: string;
  /** The entry instance that holds the attempt. */
  readonly entry: string;
  readonly bodyHash: string;
  readonly state: ClaimState;
  /** Wall clock of the claimant when it began, milliseconds since the epoch. */
  readonly claimedWallMs: number;
  /** Present when done and small enough to keep. */
  readonly answer?: StoredAnswer;
}

/** Claims are kept this long; later the same key names a new request. */
export const CLAIM_RETENTION_MS = 86_400_000;
/** Answers up to this many characters are kept for replay. */
export const STORED_ANSWER_MAX = 65_536;

/** Where the claim of an organisation's key lives; keys are apart per organisation. */
export function buildClaimKey(organisation: string, idempotencyKey: string): ItemKey {
  return { partition: `claim|${organisation}|${hashText(idempotencyKey)}`, sort: 'claim' };
}
