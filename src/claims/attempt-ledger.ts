/**
 * State of each attempt made by this instance under a claim; other instances query it. `abandoned`
 * guarantees that the attempt is never sent: it is set only before sending, and sending is refused
 * afterwards.
 */
import { createBoundedMap } from '../utils/bounded-map.js';

export const ATTEMPT_STATE = {
  Pending: 'pending',
  Abandoned: 'abandoned',
  Sent: 'sent',
} as const;
export type AttemptState = (typeof ATTEMPT_STATE)[keyof typeof ATTEMPT_STATE];

/** A forgotten attempt is reported as unknown, which proves nothing. */
const ATTEMPTS_MAX = 20_000;

export interface AttemptLedger {
  add(attemptId: string): void;
  /** Marks a pending attempt as sent; false if it is not pending and must not be sent. */
  markSent(attemptId: string): boolean;
  /** Marks the attempt as never to be sent; false if it was sent already. */
  abandon(attemptId: string): boolean;
  get(attemptId: string): AttemptState | undefined;
}

export function createAttemptLedger(): AttemptLedger {
  const attempts = createBoundedMap<string, AttemptState>(ATTEMPTS_MAX);
  return {
    add(attemptId) {
      attempts.set(attemptId, ATTEMPT_STATE.Pending);
    },
    markSent(attemptId) {
      if (attempts.get(attemptId) !== ATTEMPT_STATE.Pending) return false;
      attempts.set(attemptId, ATTEMPT_STATE.Sent);
      return true;
    },
    abandon(attemptId) {
      if (attempts.get(attemptId) === ATTEMPT_STATE.Sent) return false;
      attempts.set(attemptId, ATTEMPT_STATE.Abandoned);
      return true;
    },
    get: (attemptId) => attempts.get(attemptId),
  };
}
