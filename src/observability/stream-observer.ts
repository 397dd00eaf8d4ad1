/** Logs how the software versions of resumed streams are found, and records metrics. */
import type { ReceivedReply } from '../stream-versions/binding-queries.js';
import type { VersionKey } from '../stream-versions/stream-binding.js';
import { hashVersion } from '../stream-versions/stream-binding.js';
import type { StreamObserver } from '../stream-versions/stream-versions.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { CallMetrics } from './call-metrics.js';
import type { DecisionLog } from './decision-log.js';

/** Characters of an id that a caller names. */
const LOGGED_ID_MAX = 64;
/** Endpoints named as passed over. */
const LOGGED_ENDPOINTS_MAX = 8;

export interface StreamObserverOptions {
  readonly log: DecisionLog;
  readonly metrics: Pick<CallMetrics, 'recordResumedStream' | 'recordToldStreams'>;
  readonly listRegistered: () => readonly RegisteredEndpoint[];
}

export function createStreamObserver(options: StreamObserverOptions): StreamObserver {
  const { log, metrics } = options;

  function formatVersion(version: VersionKey): string {
    const endpoint = options
      .listRegistered()
      .find(({ softwareVersion }) => hashVersion(softwareVersion) === version);
    return endpoint?.softwareVersion ?? `hash ${version.toString(16)}`;
  }

  function formatReply({ from, answer, version, ageMs, checked }: ReceivedReply): string {
    const seen = checked === true ? 'looked up' : `${Math.round(ageMs)} ms ago`;
    return `${from}: ${answer}, ${formatVersion(version)}, ${seen}`;
  }

  function listPassedOver(pool: string, version: VersionKey): string[] {
    return options
      .listRegistered()
      .filter((other) => other.pool === pool && hashVersion(other.softwareVersion) !== version)
      .slice(0, LOGGED_ENDPOINTS_MAX)
      .map(({ id, softwareVersion }) => `${id} (${softwareVersion})`);
  }

  return {
    onResolved({ call, resolution, source, ageMs, query, registryRevision, lookRevision }) {
      metrics.recordResumedStream(resolution.kind);
      const isBound = resolution.kind === 'bound';
      log.write({
        event: 'stream_resumed',
        request: call.callId,
        resumes: (call.resumedCallId ?? '').slice(0, LOGGED_ID_MAX),
        pool: call.pool,
        outcome: resolution.kind,
        version: isBound ? formatVersion(resolution.version) : '',
        source,
        ageMs: ageMs === undefined ? null : Math.round(ageMs),
        registryRevision,
        lookRevision: lookRevision ?? null,
        asked: query?.asked ?? [],
        replies: (query?.replies ?? []).map(formatReply),
        tookMs: Math.round(query?.tookMs ?? 0),
        passedOver: isBound ? listPassedOver(call.pool, resolution.version) : [],
      });
    },
    onTold: (streams) => metrics.recordToldStreams(streams),
    onStoredRead({ rows, streams, lifeMs, tookMs }) {
      const roundedMs = { lifeMs: Math.round(lifeMs), tookMs: Math.round(tookMs) };
      log.write({ event: 'stored_streams_read', rows, streams, ...roundedMs });
    },
    onClaim: (pools) => log.write({ event: 'version_claim_held', pools }),
  };
}
