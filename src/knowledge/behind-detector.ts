/**
 * Guards against a feed whose connection goes silent while the source answers others, which shows as an
 * endpoint that still gets calls after it said that it leaves, for as long as a call may wait.
 */

/** A watcher that others are ahead of for this long, in milliseconds, doubts its own connection: a change is told to all watchers within some tens. */
const FEED_LAG_MAX_MS = 700;

/** Doubts the own feed. */
export interface BehindDetector {
  /** A peer told of a revision; whether the own feed has been behind for so long that it is doubted. */
  checkBehind(peerRevision: number, ownRevision: number, nowMs: number): boolean;
  /** The own feed is not in use. */
  stop(): void;
}

/** Builds a detector that doubts nothing. */
export function createBehindDetector(): BehindDetector {
  let laggingSinceMs: number | undefined;
  return {
    checkBehind(peerRevision, ownRevision, nowMs) {
      if (peerRevision <= ownRevision) {
        laggingSinceMs = undefined;
        return false;
      }
      laggingSinceMs ??= nowMs;
      if (nowMs - laggingSinceMs < FEED_LAG_MAX_MS) return false;
      laggingSinceMs = undefined;
      return true;
    },
    stop() {
      laggingSinceMs = undefined;
    },
  };
}
