/**
 * Guards against a stalled feed connection while the source still answers peers: an endpoint would
 * get calls after it announced that it is leaving.
 */

/** Well above the tens of milliseconds within which all watchers receive a change. */
const FEED_LAG_MAX_MS = 700;

export interface BehindDetector {
  /** Compares the own revision with a peer's; true once the own feed has lagged for too long. */
  checkBehind(peerRevision: number, ownRevision: number, nowMs: number): boolean;
  /** Discards the state while the own feed is not in use. */
  stop(): void;
}

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
