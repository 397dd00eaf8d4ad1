/**
 * What this entry did with each attempt under a claim. Asked by other entries; `abandoned` is a
 * promise that the attempt will never be sent, so it is only ever set before sending, and sending
 * is refused afterwards.
 */
import { createBoundedMap } from '../utils/bounded-map.js';

/** What is known of an attempt here. */
export const ATTEMPT_STATE = {
  Pending: 'pending',
  Abandoned: 'abandoned',
  Sent: 'sent',
} as const;
export type AttemptState = (typeof ATTEMPT_STATE)[keyof typeof ATTEMPT_STATE];

/** Attempts remembered; an attempt that was forgotten is unknown, which proves nothing. */
const ATTEMPTS_MAX = 20_000;

/** The ledger of one entry. */
export interface AttemptLedger {
  add(attemptId: string): void;
  /** Marks the attempt as sent; false if it was abandoned and must not be sent. */
  take(attemptId: string): boolean;
  /** Promises never to send the attempt; false if it was sent already. */
  remove(attemptId: string): boolean;
  get(attemptId: string): AttemptState | undefined;
}

/** Builds an empty ledger. */
export function createAttemptLedger(): AttemptLedger {
  const attempts = createBoundedMap<string, AttemptState>(ATTEMPTS_MAX);
  return {
    add(attemptId) {
      attempts.set(attemptId, ATTEMPT_STATE.Pending);
    },
    take(attemptId) {
      if (attempts.get(attemptId) !== ATTEMPT_STATE.Pending) return false;
      attempts.set(attemptId, ATTEMPT_STATE.Sent);
      return true;
    },
    remove(attemptId) {
      if (attempts.get(attemptId) === ATTEMPT_STATE.Sent) return false;
      attempts.set(attemptId, ATTEMPT_STATE.Abandoned);
      return true;
    },
    get: (attemptId) => attempts.get(attemptId),
  };
}
