/**
 * Keeps what the source's tables say in hand: follows both feeds, stands in with what peers know
 * where the source is out of reach, and distrusts everything after a suspension.
 */
import { createEndpointDirectory } from '../directory/endpoint-directory.js';
import type { DirectoryMessage, EndpointDirectory } from '../directory/endpoint-directory.js';
import type { FetchKnowledgeRequest, FetchKnowledgeResponse } from '../gen/peer_pb.js';
import { createBehindDetector } from '../knowledge/behind-detector.js';
import { createConfigurationKnowledge } from '../knowledge/configuration-knowledge.js';
import type { FeedReader, FeedRow } from '../knowledge/feed.js';
import { startFeedWatcher } from '../knowledge/feed-watcher.js';
import type { AnswerTimes } from '../knowledge/feed-watcher.js';
import { createSourceClock } from '../knowledge/source-clock.js';
import { createSuspensionDetector } from '../knowledge/suspension-detector.js';
import { createTableMirror } from '../knowledge/table-mirror.js';
import type { WatchDuty } from '../knowledge/watch-duty.js';
import { decodeRows, encodeTable } from '../peers/encode-table.js';
import type { KnowledgeSummary } from '../peers/peer-links.js';
import type { DecisionLog } from '../observability/decision-log.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { RegisteredEndpoint, TrafficConfiguration } from '../types/traffic.js';
import type { Random } from '../utils/random.js';

const TICK_MS = 100;
/**
 * A call that waits for a change returns after this long, in milliseconds, and so confirms that there
 * is none. For endpoints it guards against a connection that goes silent for good while the other one
 * works: it shows as calls to an endpoint long after it said that it leaves. With the call's own
 * timeout of 0.7 s the silence is found after 2.2 s, and connections that were cut count as disturbed
 * for 3 s.
 */
export const LEADING_WATCH_WAIT_MS = 1500;
/** The same for a watcher on whose confirmations nobody relies. */
const STANDBY_WATCH_WAIT_MS = 6000;
/** Reads rows of the source; undefined where a row was removed or says nothing the product understands. */
export interface RowDecoder {
  decodeConfiguration(row: FeedRow): TrafficConfiguration | undefined;
  decodeEndpoint(row: FeedRow): RegisteredEndpoint | undefined;
}

/** What a keeper is built on. */
export interface KnowledgeStoreOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly log: DecisionLog;
  readonly configurationFeed: FeedReader;
  readonly endpointFeed: FeedReader;
  readonly decoder: RowDecoder;
  readonly onConfiguration: (configuration: TrafficConfiguration) => void;
  /** This start of an endpoint has ended or its entry is gone; `isRestarted`: another start took its place. */
  readonly onEndpointEnded: (endpoint: RegisteredEndpoint, isRestarted: boolean) => void;
  /** All confirmations are in doubt: a peer or the source is to be asked at once. */
  readonly onSuspended: () => void;
}

/** Knowledge of one instance. */
export interface KnowledgeStore {
  readonly directory: Pick<EndpointDirectory, 'listOpen' | 'find' | 'listAll'>;
  getConfiguration(): TrafficConfiguration | undefined;
  /** Milliseconds since the configuration in hand was surely the newest. */
  computeAge(): number;
  getSummary(): KnowledgeSummary;
  /** What a peer told of its knowledge; whether it has something that this instance should ask for. */
  applySummary(summary: KnowledgeSummary): boolean;
  /** What a peer asks for. */
  buildResponse(request: FetchKnowledgeRequest): FetchKnowledgeResponse;
  /** What a peer answered to a question sent at `sentMs`. */
  applyResponse(peer: string, response: FetchKnowledgeResponse, sentMs: number): void;
  /** Whether this instance follows the source itself; until told so it lives on what peers answer. */
  setDuty(duty: WatchDuty): void;
  stop(): void;
}

/** Builds a keeper that knows nothing. */
export function createKnowledgeStore(options: KnowledgeStoreOptions): KnowledgeStore {
  const { timers, log, decoder } = options;
  const knowledge = createConfigurationKnowledge<TrafficConfiguration>();
  const sourceClock = createSourceClock();
  const suspensionDetector = createSuspensionDetector(timers.clock);
  const directory = createEndpointDirectory();
  const configurationRows = createTableMirror();
  const endpointRows = createTableMirror();
  const behindDetector = createBehindDetector();
  let trustedSinceMs = -Infinity;
  let isSourceLost = false;
  let duty: WatchDuty = { kind: 'follow' };
  const getNow = (): number => timers.clock.monotonicMs();

  /** Distrusts what is known after a suspension: how long it lasted this process cannot know. */
  function checkSuspension(): void {
    if (!suspensionDetector.checkSuspended()) return;
    trustedSinceMs = getNow();
    sourceClock.reset();
    log.write({ event: 'clocks_parted', configurationVersion: knowledge.getVersion() });
    if (duty.kind === 'watch') {
      configurationWatcher.restart();
      endpointWatcher.restart();
    }
    options.onSuspended();
  }

  function computeAge(): number {
    checkSuspension();
    return sourceClock.computeAge(knowledge.getKnownAt(), getNow());
  }

  function applyDirectory(message: DirectoryMessage, source: string): void {
    for (const { endpoint, change } of directory.handle(message, getNow())) {
      const isRestarted = change === 'restarted';
      if (isRestarted || change === 'removed') options.onEndpointEnded(endpoint, isRestarted);
      const { id, pool } = endpoint;
      log.write({ event: 'endpoint_changed', endpoint: id, pool, change, source });
    }
  }

  function handleSourceLost(feed: string, reason: string): void {
    if (isSourceLost) return;
    isSourceLost = true;
    log.write({ event: 'source_lost', feed, reason, knowledgeAgeMs: Math.round(computeAge()) });
    applyDirectory({ kind: 'source_lost' }, 'source');
    // One silent connection is reason to doubt the other.
    if (feed === 'configuration') endpointWatcher.restart();
  }

  function handleSourceAnswer(feed: string): void {
    if (!isSourceLost) return;
    isSourceLost = false;
    log.write({ event: 'source_back', feed });
    applyDirectory({ kind: 'source_back' }, 'source');
  }

  /** Takes rows as the newest as of `knownAtMs` on the source's clock. */
  function recordConfiguration(rows: readonly FeedRow[], knownAtMs: number, source: string): void {
    for (const row of rows) {
      const configuration = decoder.decodeConfiguration(row);
      if (configuration !== undefined) {
        const { version } = configuration;
        const outcome = knowledge.record({ version, configuration, knownAtMs });
        if (outcome === 'applied') options.onConfiguration(configuration);
        log.write({ event: 'configuration_reported', version, outcome, source });
      }
    }
  }

  function handleConfigurationList(rows: readonly FeedRow[]): void {
    handleSourceAnswer('configuration');
    // Guards against a list that is seconds behind, which shows as a removed key that still works at
    // an instance that has just started: a list says what exists, never that nothing newer does.
    recordConfiguration(rows, -Infinity, 'source');
  }

  function handleConfigurationAnswer(rows: readonly FeedRow[], times: AnswerTimes): void {
    handleSourceAnswer('configuration');
    // An answer asked for before a suspension says nothing of the time since.
    if (times.sentMs < trustedSinceMs) return;
    sourceClock.record(times);
    recordConfiguration(rows, times.sourceNowMs, 'source');
    const version = knowledge.getVersion();
    if (version > 0) {
      knowledge.record({ version, configuration: undefined, knownAtMs: times.sourceNowMs });
    }
  }

  function parseEndpointRow(row: FeedRow): DirectoryMessage {
    const endpoint = decoder.decodeEndpoint(row);
    if (endpoint !== undefined) return { kind: 'registered', endpoint };
    return { kind: row.value === undefined ? 'removed' : 'unreadable', id: row.key };
  }

  function handleEndpointRows(rows: readonly FeedRow[], source: string): void {
    for (const row of rows) applyDirectory(parseEndpointRow(row), source);
  }

  function handleEndpointList(rows: readonly FeedRow[], source: string): void {
    const messages = rows.map(parseEndpointRow);
    for (const message of messages) {
      if (message.kind === 'unreadable') applyDirectory(message, source);
    }
    const endpoints = messages.flatMap((message) =>
      message.kind === 'registered' ? [message.endpoint] : [],
    );
    applyDirectory({ kind: 'listed', endpoints }, source);
  }

  /**
   * Guards against a feed that goes on from before what peers told while it was out of reach, which
   * shows as an endpoint that is used again after it said that it leaves, or as the start before the
   * present one. Up to the revision in hand everything is known.
   */
  function isBehindPeers({ revision }: AnswerTimes): boolean {
    return revision < endpointRows.getContentRevision();
  }

  function getWaitMs(): number {
    return duty.kind === 'watch' && duty.isLeading ? LEADING_WATCH_WAIT_MS : STANDBY_WATCH_WAIT_MS;
  }

  function getPauseFactor(): number {
    return duty.kind === 'watch' ? duty.pauseFactor : 1;
  }

  const configurationWatcher = startFeedWatcher({
    reader: options.configurationFeed,
    timers,
    random: options.random,
    getWaitMs,
    getPauseFactor,
    isPaused: true,
    listener: {
      onListed(rows, answer) {
        configurationRows.setAll(rows, answer.revision);
        handleConfigurationList(rows);
      },
      onChanged(rows, answer) {
        configurationRows.apply(rows, answer.revision);
        handleConfigurationAnswer(rows, answer);
      },
      onLost: (reason) => handleSourceLost('configuration', reason),
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
        handleSourceAnswer('endpoints');
        if (isBehindPeers(answer)) return;
        endpointRows.setAll(rows, answer.revision);
        handleEndpointList(rows, 'source');
      },
      onChanged(rows, answer) {
        handleSourceAnswer('endpoints');
        if (isBehindPeers(answer)) return;
        endpointRows.apply(rows, answer.revision);
        handleEndpointRows(rows, 'source');
      },
      onLost: (reason) => handleSourceLost('endpoints', reason),
    },
  });

  timers.subscribe(TICK_MS, () => {
    checkSuspension();
    applyDirectory({ kind: 'tick' }, 'renewal time');
  });

  function buildConfigurationTable(known: number): FetchKnowledgeResponse['configuration'] {
    const version = knowledge.getVersion();
    const knownAtMs = knowledge.getKnownAt();
    if (version === 0 || !Number.isFinite(knownAtMs)) return undefined;
    const rows = version > known ? configurationRows.list() : [];
    return encodeTable({ kind: 'all', rows }, version, knownAtMs);
  }

  function buildEndpointTable(known: number): FetchKnowledgeResponse['endpoints'] {
    const revision = endpointRows.getContentRevision();
    if (revision === 0 || isSourceLost) return undefined;
    return encodeTable(endpointRows.listSince(known), revision, undefined);
  }

  function applyConfigurationTable(
    table: NonNullable<FetchKnowledgeResponse['configuration']>,
    peer: string,
  ): void {
    const { knownAtMs = -Infinity } = table;
    if (table.hasRows) {
      const rows = decodeRows(table.rows);
      configurationRows.setAll(rows, configurationRows.getRevision());
      recordConfiguration(rows, knownAtMs, peer);
    } else {
      knowledge.record({ version: table.revision, configuration: undefined, knownAtMs });
    }
  }

  function applyEndpointTable(
    table: NonNullable<FetchKnowledgeResponse['endpoints']>,
    renewalLeftMs: number,
    peer: string,
  ): void {
    if (table.revision <= endpointRows.getContentRevision()) return;
    // A table without any row is no table: its teller has just begun.
    if (table.isComplete && !table.hasRows) return;
    applyDirectory({ kind: 'renewing', forMs: renewalLeftMs }, peer);
    const rows = decodeRows(table.rows);
    endpointRows.applyTold({ kind: table.isComplete ? 'all' : 'changed', rows }, table.revision);
    if (table.isComplete) handleEndpointList(rows, peer);
    else handleEndpointRows(rows, peer);
  }

  function stopWatching(): void {
    configurationWatcher.pause();
    endpointWatcher.pause();
    // From now on the source is as well as peers say.
    handleSourceAnswer('peers');
  }

  function checkBehind(endpointsRevision: number): void {
    if (duty.kind === 'follow') behindDetector.stop();
    else if (behindDetector.checkBehind(endpointsRevision, endpointRows.getRevision(), getNow())) {
      endpointWatcher.restart();
    }
  }

  function startWatching(): void {
    configurationWatcher.resume(configurationRows.getContentRevision());
    endpointWatcher.resume(endpointRows.getRevision());
  }

  return {
    directory,
    getConfiguration: () => knowledge.get(),
    computeAge,
    getSummary() {
      const knownAtMs = knowledge.getKnownAt();
      return {
        configurationRevision: knowledge.getVersion(),
        endpointsRevision: endpointRows.getContentRevision(),
        confirmedAtMs: Number.isFinite(knownAtMs) ? knownAtMs : undefined,
      };
    },
    applySummary({ configurationRevision: version, endpointsRevision, confirmedAtMs }) {
      const isNewer = version > knowledge.getVersion();
      if (confirmedAtMs !== undefined && !isNewer) {
        knowledge.record({ version, configuration: undefined, knownAtMs: confirmedAtMs });
      }
      checkBehind(endpointsRevision);
      const isPeerAhead = isNewer || endpointsRevision > endpointRows.getContentRevision();
      return isPeerAhead && (duty.kind === 'follow' || isSourceLost);
    },
    buildResponse(request) {
      const configuration = buildConfigurationTable(request.configurationRevision);
      const endpoints = buildEndpointTable(request.endpointsRevision);
      // A clock that stood still must not be passed on as one that knows what time it is.
      checkSuspension();
      const sourceNowMs = sourceClock.computeSourceNow(getNow());
      return {
        $typeName: 'hyssoptally.peer.v1.FetchKnowledgeResponse',
        ...(sourceNowMs === undefined ? {} : { sourceNowMs }),
        renewalLeftMs: directory.computeRenewalLeft(getNow()),
        ...(configuration === undefined ? {} : { configuration }),
        ...(endpoints === undefined ? {} : { endpoints }),
      };
    },
    applyResponse(peer, { configuration, endpoints, renewalLeftMs, sourceNowMs }, sentMs) {
      checkSuspension();
      if (sentMs < trustedSinceMs) return;
      if (sourceNowMs !== undefined) sourceClock.record({ sourceNowMs, sentMs });
      if (configuration !== undefined) applyConfigurationTable(configuration, peer);
      // While the own feed answers, it is the better source.
      const isNeeded = duty.kind === 'follow' || isSourceLost || endpointRows.getRevision() === 0;
      if (isNeeded && endpoints !== undefined) applyEndpointTable(endpoints, renewalLeftMs, peer);
    },
    setDuty(nextDuty) {
      const previousDuty = duty;
      duty = nextDuty;
      if (nextDuty.kind !== previousDuty.kind) {
        const isWatching = nextDuty.kind === 'watch';
        log.write({ event: 'watching_changed', isWatching });
        if (isWatching) startWatching();
        else stopWatching();
        return;
      }
      const wasLeading = previousDuty.kind === 'watch' && previousDuty.isLeading;
      if (nextDuty.kind === 'follow' || !nextDuty.isLeading || wasLeading) return;
      // A call under way would wait for seconds, and a confirmation is wanted now.
      configurationWatcher.restart();
      endpointWatcher.restart();
    },
    stop() {
      configurationWatcher.stop();
      endpointWatcher.stop();
    },
  };
}
