/**
 * Detects that this instance's feed lags behind those of its peers.
 *
 * Guards against a stalled feed connection while the source still answers peers: an endpoint would
 * get calls after it announced that it is leaving.
 */

/** Well above the tens of milliseconds within which all watchers receive a change. */
const FEED_LAG_MAX_MS = 700;

export interface FeedLagDetector {
  /** Compares the own revision with a peer's; true once the own feed has lagged for too long. */
  checkLag(peerRevision: number, ownRevision: number, nowMs: number): boolean;
  /** Discards the state while the own feed is not in use. */
  reset(): void;
}

export function createFeedLagDetector(): FeedLagDetector {
  let laggingSinceMs: number | undefined;
  /** Highest revision of any peer. Peers that lag as well do not show that the own feed works. */
  let newestRevision = 0;
  return {
    checkLag(peerRevision, ownRevision, nowMs) {
      newestRevision = Math.max(newestRevision, peerRevision);
      if (newestRevision <= ownRevision) {
        laggingSinceMs = undefined;
        return false;
      }
      laggingSinceMs ??= nowMs;
      if (nowMs - laggingSinceMs < FEED_LAG_MAX_MS) return false;
      laggingSinceMs = undefined;
      return true;
    },
    reset() {
      laggingSinceMs = undefined;
      newestRevision = 0;
    },
  };
}
