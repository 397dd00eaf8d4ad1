/**
 * Guards against a feed whose connection goes silent while the source answers others, which shows as an
 * endpoint that still gets calls after it said that it leaves, for as long as a call may wait.
 */

/** A watcher that others are ahead of for this long, in milliseconds, doubts its own connection: a change is told to all watchers within some tens. */
const BEHIND_MAX_MS = 700;

/** Doubts the own feed. */
export interface BehindDetector {
  /** A peer told of a revision; whether the own feed has been behind for so long that it is doubted. */
  checkBehind(toldRevision: number, ownRevision: number, nowMs: number): boolean;
  /** The own feed is not in use. */
  stop(): void;
}

/** Builds a detector that doubts nothing. */
export function createBehindDetector(): BehindDetector {
  let behindSinceMs: number | undefined;
  return {
    checkBehind(toldRevision, ownRevision, nowMs) {
      if (toldRevision <= ownRevision) {
        behindSinceMs = undefined;
        return false;
      }
      behindSinceMs ??= nowMs;
      if (nowMs - behindSinceMs < BEHIND_MAX_MS) return false;
      behindSinceMs = undefined;
      return true;
    },
    stop() {
      behindSinceMs = undefined;
    },
  };
}
