/**
 * Maintains this instance's knowledge: its copy of the source's configuration and endpoint tables.
 * Watches the feeds of both tables, uses the copies of peers while the source is unreachable, and requires
 * a new confirmation after the process was suspended.
 */
import type { EndpointDirectory } from '../directory/endpoint-directory.js';
import type { FetchKnowledgeRequest, FetchKnowledgeResponse } from '../gen/peer_pb.js';
import { createFeedLagDetector } from '../knowledge/feed-lag-detector.js';
import { createConfigurationKnowledge } from '../knowledge/configuration-knowledge.js';
import type { FeedReader, FeedRow } from '../knowledge/feed.js';
import { startFeedWatcher } from '../knowledge/feed-watcher.js';
import type { ResponseMetadata } from '../knowledge/feed-watcher.js';
import { createSourceClock } from '../knowledge/source-clock.js';
import { createSourceOutage } from '../knowledge/source-outage.js';
import { createSuspensionDetector } from '../knowledge/suspension-detector.js';
import type { MirroredRow } from '../knowledge/table-mirror.js';
import { DEFAULT_WATCH_PACE } from '../knowledge/watch-pace.js';
import type { WatchPace } from '../knowledge/watch-pace.js';
import type { WatchRole } from '../knowledge/watch-role.js';
import { decodeRows, encodeTable } from '../peers/encode-table.js';
import { NEVER_CONFIRMED_MS } from '../peers/peer-links.js';
import type { KnowledgeSummary } from '../peers/peer-links.js';
import type { DecisionLog } from '../observability/decision-log.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { RegisteredEndpoint, TrafficConfiguration } from '../types/traffic.js';
import type { Random } from '../utils/random.js';
import { createEndpointKnowledge } from './endpoint-knowledge.js';
import type { EndpointListener } from './endpoint-knowledge.js';

const TICK_MS = 100;
/** Wait of a watcher whose confirmations no other instance relies on. */
const STANDBY_WATCH_WAIT_MS = 6000;

/** Decodes rows of the source; returns undefined for a row that was removed or cannot be read. */
export interface RowDecoder {
  decodeConfiguration(row: FeedRow): TrafficConfiguration | undefined;
  decodeEndpoint(row: FeedRow): RegisteredEndpoint | undefined;
}

export interface KnowledgeStoreOptions extends EndpointListener {
  readonly timers: TimerService;
  readonly random: Random;
  readonly log: DecisionLog;
  readonly configurationFeed: FeedReader;
  readonly endpointFeed: FeedReader;
  readonly decoder: RowDecoder;
  /** @default that of a deployment without bounds */
  readonly watchPace?: WatchPace;
  readonly onConfiguration: (configuration: TrafficConfiguration) => void;
  /** No confirmation is valid any more; knowledge must be fetched from a peer or the source at once. */
  readonly onSuspended: () => void;
}

export interface KnowledgeStore {
  readonly directory: Pick<
    EndpointDirectory,
    'listOpen' | 'listServing' | 'find' | 'hasStart' | 'listAll' | 'hasUnreadable'
  >;
  getConfiguration(): TrafficConfiguration | undefined;
  /** Returns the time since the current configuration was last confirmed as the newest. */
  computeAge(): number;
  /** Returns the time since the endpoints were last confirmed as the newest. */
  computeEndpointsAge(): number;
  getSummary(): KnowledgeSummary;
  /** All changes of the endpoint table up to this revision are known; 0 before its first list. */
  getEndpointsRevision(): number;
  /** Latest possible value of the source's clock; undefined if unknown. */
  computeSourceNow(): number | undefined;
  /** Upper bound of the time since a time of the source's clock; infinite if unknown. */
  computeAgeOf(sourceMs: number): number;
  /** Applies a peer's summary; returns whether this instance should fetch knowledge from it. */
  applySummary(summary: KnowledgeSummary): boolean;
  buildResponse(request: FetchKnowledgeRequest): FetchKnowledgeResponse;
  /** Applies a peer's response to a request that was sent at `sentMs`. */
  applyResponse(peer: string, response: FetchKnowledgeResponse, sentMs: number): void;
  /** Sets whether this instance watches the source itself; by default it relies on peers. */
  setRole(role: WatchRole): void;
  stop(): void;
}

export function createKnowledgeStore(options: KnowledgeStoreOptions): KnowledgeStore {
  const { timers, log, decoder } = options;
  const { leadingWaitMs } = options.watchPace ?? DEFAULT_WATCH_PACE;
  const knowledge = createConfigurationKnowledge<TrafficConfiguration>();
  const sourceClock = createSourceClock();
  const suspensionDetector = createSuspensionDetector(timers.clock);
  const endpoints = createEndpointKnowledge({
    log,
    getNow: () => timers.clock.monotonicMs(),
    decodeEndpoint: (row) => decoder.decodeEndpoint(row),
    onEndpointStarted: options.onEndpointStarted,
    onEndpointEnded: options.onEndpointEnded,
    onEndpointsApplied: options.onEndpointsApplied,
  });
  const { directory } = endpoints;
  const endpointLagDetector = createFeedLagDetector();
  const configurationLagDetector = createFeedLagDetector();
  let trustedSinceMs = -Infinity;
  let role: WatchRole = { kind: 'follow' };
  const getNow = (): number => timers.clock.monotonicMs();

  /** Invalidates confirmations after a suspension, since its duration is unknown. */
  function checkSuspension(): void {
    if (!suspensionDetector.checkSuspended()) return;
    trustedSinceMs = getNow();
    sourceClock.reset();
    log.write({ event: 'clocks_parted', configurationVersion: knowledge.getVersion() });
    if (role.kind === 'watch') {
      configurationWatcher.restart();
      endpointWatcher.restart();
    }
    options.onSuspended();
  }

  function computeAge(): number {
    checkSuspension();
    return sourceClock.computeAge(knowledge.getKnownAt(), getNow());
  }

  function computeEndpointsAge(): number {
    checkSuspension();
    return sourceClock.computeAge(endpoints.getKnownAt(), getNow());
  }

  function computeAgeOf(sourceMs: number): number {
    checkSuspension();
    return sourceClock.computeAge(sourceMs, getNow());
  }

  const outage = createSourceOutage({
    log,
    computeAge,
    onEndpointsLost(feed) {
      endpoints.apply({ kind: 'source_lost' }, 'source');
      // The connection of the other feed may have failed too.
      if (feed === 'configuration') endpointWatcher.restart();
    },
    onEndpointsBack: () => endpoints.apply({ kind: 'source_back' }, 'source'),
  });

  /** Records one row; `knownAtMs` as in `ConfigurationReport`. */
  function recordConfigurationRow(
    row: MirroredRow,
    knownAtMs: number,
    source: string,
    announcedVersion?: number,
  ): void {
    const configuration = decoder.decodeConfiguration(row);
    if (configuration === undefined) return;
    const { version } = configuration;
    // Guards against a peer of an earlier release that sends an old row under a newer version.
    const isAsAnnounced = announcedVersion === undefined || announcedVersion === version;
    const outcome = knowledge.record({
      version,
      content: { configuration, row },
      knownAtMs: isAsAnnounced ? knownAtMs : -Infinity,
    });
    if (outcome === 'applied') options.onConfiguration(configuration);
    const announced = announcedVersion === undefined ? {} : { announcedVersion };
    log.write({ event: 'configuration_reported', version, outcome, source, ...announced });
  }

  /** Records rows of the source that were the newest at `knownAtMs` on its clock. */
  function recordSourceRows(
    rows: readonly FeedRow[],
    responseRevision: number,
    knownAtMs: number,
  ): void {
    for (const row of rows) {
      const { revision = responseRevision } = row;
      recordConfigurationRow({ ...row, revision }, knownAtMs, 'source');
    }
  }

  function handleConfigurationList(rows: readonly FeedRow[], revision: number): void {
    outage.recordAnswer('configuration');
    // Guards against accepting a revoked key from a stale list: a list does not confirm that its rows are
    // the newest.
    recordSourceRows(rows, revision, -Infinity);
  }

  function handleConfigurationAnswer(
    rows: readonly FeedRow[],
    times: ResponseMetadata,
    isNewest: boolean,
  ): void {
    outage.recordAnswer('configuration');
    // An answer to a request sent before a suspension confirms nothing.
    if (times.sentMs < trustedSinceMs) return;
    sourceClock.record(times);
    const knownAtMs = isNewest ? times.sourceNowMs : -Infinity;
    recordSourceRows(rows, times.revision, knownAtMs);
    const version = knowledge.getVersion();
    if (version > 0) knowledge.record({ version, content: undefined, knownAtMs });
  }

  function handleEndpointsAnswer(
    rows: readonly FeedRow[],
    times: ResponseMetadata,
    isNewest: boolean,
  ): void {
    outage.recordAnswer('endpoints');
    endpoints.applyChanges(rows, times);
    const contentRevision = endpoints.getContentRevision();
    // An answer from before the last known change was not the newest.
    if (!isNewest || times.sentMs < trustedSinceMs || times.revision < contentRevision) return;
    sourceClock.record(times);
    endpoints.recordConfirmed(contentRevision, times.sourceNowMs);
  }

  function getWaitMs(): number {
    return role.kind === 'watch' && role.isLeading ? leadingWaitMs : STANDBY_WATCH_WAIT_MS;
  }

  function getPauseFactor(): number {
    return role.kind === 'watch' ? role.pauseFactor : 1;
  }

  const configurationWatcher = startFeedWatcher({
    reader: options.configurationFeed,
    timers,
    random: options.random,
    getWaitMs,
    getPauseFactor,
    isPaused: true,
    listener: {
      onListed: (rows, answer) => handleConfigurationList(rows, answer.revision),
      onChanged: handleConfigurationAnswer,
      onLost: (reason) => outage.recordLost('configuration', reason),
    },
  });
  const endpointWatcher = startFeedWatcher({
    reader: options.endpointFeed,
    timers,
    random: options.random,
    getWaitMs,
    getPauseFactor,
    isPaused: true,
    listener: {
      onListed(rows, answer) {
        outage.recordAnswer('endpoints');
        endpoints.applyList(rows, answer);
      },
      onChanged: handleEndpointsAnswer,
      onLost: (reason) => outage.recordLost('endpoints', reason),
    },
  });

  timers.subscribe(TICK_MS, () => {
    checkSuspension();
    endpoints.apply({ kind: 'tick' }, 'renewal time');
  });

  function buildConfigurationTable(known: number): FetchKnowledgeResponse['configuration'] {
    const version = knowledge.getVersion();
    const knownAtMs = knowledge.getKnownAt();
    const row = knowledge.getRow();
    if (row === undefined || !Number.isFinite(knownAtMs)) return undefined;
    const rows = version > known ? [row] : [];
    return encodeTable({ kind: 'all', rows }, version, knownAtMs);
  }

  function applyConfigurationTable(
    table: NonNullable<FetchKnowledgeResponse['configuration']>,
    peer: string,
  ): void {
    const { knownAtMs = -Infinity } = table;
    if (table.hasRows) {
      for (const row of decodeRows(table.rows))
        recordConfigurationRow(row, knownAtMs, peer, table.revision);
    } else {
      knowledge.record({ version: table.revision, content: undefined, knownAtMs });
    }
  }

  function stopWatching(): void {
    configurationWatcher.pause();
    endpointWatcher.pause();
    outage.recordPeers();
  }

  /** Restarts a feed that lags behind those of peers; returns whether that of the configuration did. */
  function checkLag({ configurationRevision, endpointsRevision }: KnowledgeSummary): boolean {
    if (role.kind === 'follow') {
      endpointLagDetector.reset();
      configurationLagDetector.reset();
      return false;
    }
    const nowMs = getNow();
    if (endpointLagDetector.checkLag(endpointsRevision, endpoints.getRevision(), nowMs))
      endpointWatcher.restart();
    const isConfigurationLagging = configurationLagDetector.checkLag(
      configurationRevision,
      knowledge.getVersion(),
      nowMs,
    );
    if (isConfigurationLagging) configurationWatcher.restart();
    return isConfigurationLagging;
  }

  function startWatching(): void {
    configurationWatcher.resume(knowledge.getRow()?.revision ?? 0);
    endpointWatcher.resume(endpoints.getRevision());
  }

  return {
    directory,
    getConfiguration: () => knowledge.get(),
    computeAge,
    computeEndpointsAge,
    computeAgeOf,
    getSummary() {
      const knownAtMs = knowledge.getKnownAt();
      return {
        configurationRevision: knowledge.getVersion(),
        endpointsRevision: endpoints.getContentRevision(),
        confirmedAtMs: Number.isFinite(knownAtMs) ? knownAtMs : undefined,
        endpointsUnchanged: endpoints.getRevision() - endpoints.getContentRevision(),
        endpointsConfirmedAtMs: Math.max(NEVER_CONFIRMED_MS, endpoints.getKnownAt()),
      };
    },
    getEndpointsRevision: () => endpoints.getRevision(),
    computeSourceNow() {
      checkSuspension();
      return sourceClock.computeSourceNow(getNow());
    },
    applySummary(summary) {
      const { configurationRevision: version, endpointsRevision, confirmedAtMs } = summary;
      const isNewer = version > knowledge.getVersion();
      if (confirmedAtMs !== undefined && !isNewer) {
        knowledge.record({ version, content: undefined, knownAtMs: confirmedAtMs });
      }
      endpoints.recordUnchanged(
        endpointsRevision,
        endpointsRevision + (summary.endpointsUnchanged ?? 0),
      );
      endpoints.recordConfirmed(
        endpointsRevision,
        // Instances of earlier releases confirm both tables by one time.
        summary.endpointsConfirmedAtMs ?? confirmedAtMs ?? NEVER_CONFIRMED_MS,
      );
      const isFeedLagging = checkLag(summary);
      const areEndpointsNewer = endpointsRevision > endpoints.getContentRevision();
      if (!isNewer && !areEndpointsNewer) return false;
      if (role.kind === 'follow' || isFeedLagging) return true;
      return isNewer ? outage.isAnyLost() : outage.isLost('endpoints');
    },
    buildResponse(request) {
      const configuration = buildConfigurationTable(request.configurationRevision);
      // What peers reported is passed on although this instance cannot reach the source: its summary
      // announces that revision, and followers would ask for it in vain.
      const endpointTable = directory.isSourceLost()
        ? undefined
        : endpoints.buildTable(request.endpointsRevision);
      // Guards against passing on a source time computed from a clock that stood still.
      checkSuspension();
      const sourceNowMs = sourceClock.computeSourceNow(getNow());
      return {
        $typeName: 'hyssoptally.peer.v1.FetchKnowledgeResponse',
        ...(sourceNowMs === undefined ? {} : { sourceNowMs }),
        renewalLeftMs: directory.computeRenewalLeft(getNow()),
        ...(configuration === undefined ? {} : { configuration }),
        ...(endpointTable === undefined ? {} : { endpoints: endpointTable }),
      };
    },
    applyResponse(peer, response, sentMs) {
      const { configuration, endpoints: endpointTable, renewalLeftMs, sourceNowMs } = response;
      checkSuspension();
      if (sentMs < trustedSinceMs) return;
      if (sourceNowMs !== undefined) sourceClock.record({ sourceNowMs, sentMs });
      if (configuration !== undefined) applyConfigurationTable(configuration, peer);
      // The feed of this instance takes precedence while it answers.
      const isNeeded =
        role.kind === 'follow' || outage.isLost('endpoints') || endpoints.getRevision() === 0;
      if (isNeeded && endpointTable !== undefined)
        endpoints.applyTable(endpointTable, renewalLeftMs, peer);
      if (endpointTable !== undefined)
        endpoints.recordConfirmed(
          endpointTable.revision,
          endpointTable.knownAtMs ?? configuration?.knownAtMs ?? NEVER_CONFIRMED_MS,
        );
    },
    setRole(nextRole) {
      const previousRole = role;
      role = nextRole;
      if (nextRole.kind !== previousRole.kind) {
        const isWatching = nextRole.kind === 'watch';
        log.write({ event: 'watching_changed', isWatching });
        if (isWatching) startWatching();
        else stopWatching();
        return;
      }
      const wasLeading = previousRole.kind === 'watch' && previousRole.isLeading;
      if (nextRole.kind === 'follow' || !nextRole.isLeading || wasLeading) return;
      // A pending watch would wait for seconds, but a confirmation is needed now.
      configurationWatcher.restart();
      endpointWatcher.restart();
    },
    stop() {
      configurationWatcher.stop();
      endpointWatcher.stop();
    },
  };
}
