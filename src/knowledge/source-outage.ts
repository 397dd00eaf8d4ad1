/** Which feeds of the source do not answer. Performs no I/O. */
import type { DecisionLog } from '../observability/decision-log.js';

export type SourceFeed = 'configuration' | 'endpoints';

export interface SourceOutageOptions {
  readonly log: DecisionLog;
  /** Milliseconds since the configuration was last confirmed. */
  readonly computeAge: () => number;
  /** The endpoints are out of reach, or may be; `feed` is the one whose call failed. */
  readonly onEndpointsLost: (feed: SourceFeed) => void;
  readonly onEndpointsBack: () => void;
}

export interface SourceOutage {
  recordLost(feed: SourceFeed, reason: string): void;
  recordAnswer(feed: SourceFeed): void;
  /** Ends the outage of all feeds: from now on peers report whether the source is available. */
  recordPeers(): void;
  isLost(feed: SourceFeed): boolean;
  isAnyLost(): boolean;
}

export function createSourceOutage(options: SourceOutageOptions): SourceOutage {
  const { log, onEndpointsLost, onEndpointsBack } = options;
  const lost = new Set<SourceFeed>();

  return {
    recordLost(feed, reason) {
      if (lost.has(feed)) return;
      const wereEndpointsLost = lost.has('endpoints');
      lost.add(feed);
      const knowledgeAgeMs = Math.round(options.computeAge());
      log.write({ event: 'source_lost', feed, reason, knowledgeAgeMs });
      if (wereEndpointsLost) return;
      // Guards against removing entries that lapsed in an outage which no call for endpoints failed in.
      lost.add('endpoints');
      onEndpointsLost(feed);
    },
    recordAnswer(feed) {
      if (!lost.delete(feed)) return;
      log.write({ event: 'source_back', feed });
      if (feed === 'endpoints') onEndpointsBack();
    },
    recordPeers() {
      if (lost.size === 0) return;
      const wereEndpointsLost = lost.has('endpoints');
      lost.clear();
      log.write({ event: 'source_back', feed: 'peers' });
      if (wereEndpointsLost) onEndpointsBack();
    },
    isLost: (feed) => lost.has(feed),
    isAnyLost: () => lost.size > 0,
  };
}
