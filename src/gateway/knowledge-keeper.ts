/**
 * Keeps what the source's tables say in hand: follows both feeds, stands in with what peers know
 * where the source is out of reach, and distrusts everything after a suspension.
 */
import { createEndpointDirectory } from '../directory/endpoint-directory.js';
import type { DirectoryMessage, EndpointDirectory } from '../directory/endpoint-directory.js';
import type { FetchKnowledgeRequest, FetchKnowledgeResponse, TableRow } from '../gen/peer_pb.js';
import { createConfigurationKnowledge } from '../knowledge/configuration-knowledge.js';
import type { FeedReader, FeedRow } from '../knowledge/feed.js';
import { startFeedWatcher } from '../knowledge/feed-watcher.js';
import type { AnswerTimes } from '../knowledge/feed-watcher.js';
import { createSourceClock } from '../knowledge/source-clock.js';
import { createSuspensionDetector } from '../knowledge/suspension-detector.js';
import { createTableMirror } from '../knowledge/table-mirror.js';
import type { MirrorChanges } from '../knowledge/table-mirror.js';
import type { KnownRevisions } from '../peers/peer-links.js';
import type { DecisionLog } from '../observability/decision-log.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { RegisteredEndpoint, TrafficConfiguration } from '../types/traffic.js';
import type { Random } from '../utils/random.js';

const TICK_MS = 100;
/** A call that waits for a change of the configuration returns after this long, in milliseconds, and so confirms that there is none. */
export const CONFIGURATION_WAIT_MS = 1500;
/**
 * The same for endpoints. Guards against a connection that goes silent for good while the other one
 * works: it shows as calls to an endpoint long after it said that it leaves. With the call's own
 * timeout of 0.7 s the silence is found after 2.2 s, and connections that were cut count as disturbed
 * for 3 s.
 */
const ENDPOINTS_WAIT_MS = 1500;

/** Reads rows of the source; undefined where a row was removed or says nothing the product understands. */
export interface RowDecoder {
  decodeConfiguration(row: FeedRow): TrafficConfiguration | undefined;
  decodeEndpoint(row: FeedRow): RegisteredEndpoint | undefined;
}

/** What a keeper is built on. */
export interface KnowledgeKeeperOptions {
  readonly timers: TimerService;
  readonly random: Random;
  readonly log: DecisionLog;
  readonly configurationFeed: FeedReader;
  readonly endpointFeed: FeedReader;
  readonly decoder: RowDecoder;
  readonly onConfiguration: (configuration: TrafficConfiguration) => void;
  /** This start of an endpoint has ended or its entry is gone; `isRestarted`: another start took its place. */
  readonly onEndpointEnded: (endpoint: RegisteredEndpoint, isRestarted: boolean) => void;
}

/** Knowledge of one instance. */
export interface KnowledgeKeeper {
  readonly directory: Pick<EndpointDirectory, 'listOpen' | 'find' | 'listAll'>;
  getConfiguration(): TrafficConfiguration | undefined;
  /** Milliseconds since the configuration in hand was surely the newest. */
  computeAge(): number;
  getRevisions(): KnownRevisions;
  /** What a peer asks for. */
  buildResponse(request: FetchKnowledgeRequest): FetchKnowledgeResponse;
  /** What a peer answered to a question sent at `sentMs`. */
  applyResponse(peer: string, response: FetchKnowledgeResponse, sentMs: number): void;
  /** Whether this instance follows the source itself; else it lives on what peers answer. */
  setWatching(isWanted: boolean): void;
  stop(): void;
}

function parseTableRow({ key, value }: TableRow): FeedRow {
  return { key, value };
}

/** Builds a keeper; it starts following its feeds at once. */
export function createKnowledgeKeeper(options: KnowledgeKeeperOptions): KnowledgeKeeper {
  const { timers, log, decoder } = options;
  const knowledge = createConfigurationKnowledge<TrafficConfiguration>();
  const sourceClock = createSourceClock();
  const suspension = createSuspensionDetector(timers.clock);
  const directory = createEndpointDirectory();
  const configurationRows = createTableMirror();
  const endpointRows = createTableMirror();
  let trustedSinceMs = -Infinity;
  let isSourceLost = false;
  let isWatching = true;
  const getNow = (): number => timers.clock.monotonicMs();

  /** Distrusts what is known after a suspension: how long it lasted this process cannot know. */
  function checkSuspension(): void {
    if (!suspension.checkSuspended()) return;
    trustedSinceMs = getNow();
    sourceClock.reset();
    knowledge.removeConfirmations();
    log.write({ event: 'clocks_parted', configurationVersion: knowledge.getVersion() });
    if (!isWatching) return;
    configurationWatcher.restart();
    endpointWatcher.restart();
  }

  function computeAge(): number {
    checkSuspension();
    return knowledge.computeAge(getNow());
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

  /** Takes rows as the newest as of `knownAtMs`; undefined rows only confirm the version in hand. */
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
    const knownAtMs = sourceClock.record(times);
    recordConfiguration(rows, knownAtMs, 'source');
    const version = knowledge.getVersion();
    if (version > 0) knowledge.record({ version, configuration: undefined, knownAtMs });
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

  const configurationWatcher = startFeedWatcher({
    reader: options.configurationFeed,
    timers,
    random: options.random,
    waitMs: CONFIGURATION_WAIT_MS,
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
    waitMs: ENDPOINTS_WAIT_MS,
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

  function buildTable(
    changes: MirrorChanges,
    revision: number,
    ageMs: number,
  ): FetchKnowledgeResponse['configuration'] {
    return {
      $typeName: 'hyssoptally.peer.v1.TableKnowledge',
      revision,
      ageMs,
      hasRows: changes.rows.length > 0,
      isComplete: changes.kind === 'all',
      rows: changes.rows.map(({ key, value }) => ({
        $typeName: 'hyssoptally.peer.v1.TableRow',
        key,
        ...(value === undefined ? {} : { value }),
      })),
    };
  }

  function buildConfigurationTable(known: number): FetchKnowledgeResponse['configuration'] {
    const ageMs = computeAge();
    const version = knowledge.getVersion();
    if (version === 0 || !Number.isFinite(ageMs)) return undefined;
    const rows = version > known ? configurationRows.list() : [];
    return buildTable({ kind: 'all', rows }, version, ageMs);
  }

  function buildEndpointTable(known: number): FetchKnowledgeResponse['endpoints'] {
    const revision = endpointRows.getContentRevision();
    if (revision === 0 || isSourceLost) return undefined;
    return buildTable(endpointRows.listSince(known), revision, 0);
  }

  function applyConfigurationTable(
    table: NonNullable<FetchKnowledgeResponse['configuration']>,
    peer: string,
    sentMs: number,
  ): void {
    // The answer was built after the question was sent, so the knowledge is at most this old.
    const knownAtMs = sentMs - table.ageMs;
    if (table.hasRows) {
      const rows = table.rows.map(parseTableRow);
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
    if (!table.hasRows || table.revision <= endpointRows.getContentRevision()) return;
    if (renewalLeftMs > 0) applyDirectory({ kind: 'renewing', forMs: renewalLeftMs }, peer);
    const rows = table.rows.map(parseTableRow);
    if (table.isComplete) {
      endpointRows.setAll(rows, table.revision);
      handleEndpointList(rows, peer);
    } else {
      endpointRows.apply(rows, table.revision);
      handleEndpointRows(rows, peer);
    }
  }

  function stopFollowing(): void {
    isWatching = false;
    configurationWatcher.pause();
    endpointWatcher.pause();
  }

  function startFollowing(): void {
    isWatching = true;
    configurationWatcher.resume(configurationRows.getRevision());
    endpointWatcher.resume(endpointRows.getRevision());
  }

  return {
    directory,
    getConfiguration: () => knowledge.get(),
    computeAge,
    getRevisions: () => ({
      configurationRevision: knowledge.getVersion(),
      endpointsRevision: endpointRows.getContentRevision(),
    }),
    buildResponse(request) {
      const configuration = buildConfigurationTable(request.configurationRevision);
      const endpoints = buildEndpointTable(request.endpointsRevision);
      return {
        $typeName: 'hyssoptally.peer.v1.FetchKnowledgeResponse',
        renewalLeftMs: directory.computeRenewalLeft(getNow()),
        ...(configuration === undefined ? {} : { configuration }),
        ...(endpoints === undefined ? {} : { endpoints }),
      };
    },
    applyResponse(peer, { configuration, endpoints, renewalLeftMs }, sentMs) {
      if (sentMs < trustedSinceMs) return;
      if (configuration !== undefined) applyConfigurationTable(configuration, peer, sentMs);
      // While the own feed answers, it is the better source.
      const isNeeded = !isWatching || isSourceLost || endpointRows.getRevision() === 0;
      if (isNeeded && endpoints !== undefined) applyEndpointTable(endpoints, renewalLeftMs, peer);
    },
    setWatching(isWanted) {
      if (isWanted === isWatching) return;
      log.write({ event: 'watching_changed', isWatching: isWanted });
      if (isWanted) startFollowing();
      else stopFollowing();
    },
    stop() {
      configurationWatcher.stop();
      endpointWatcher.stop();
    },
  };
}
