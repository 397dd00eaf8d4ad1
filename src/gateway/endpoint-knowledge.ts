/** This instance's copy of the source's endpoint table, and the directory built from it. Performs no I/O. */
import { createEndpointDirectory } from '../directory/endpoint-directory.js';
import type { DirectoryMessage, EndpointDirectory } from '../directory/endpoint-directory.js';
import type { TableKnowledge } from '../gen/peer_pb.js';
import type { FeedRow } from '../knowledge/feed.js';
import type { ResponseMetadata } from '../knowledge/feed-watcher.js';
import { createTableMirror } from '../knowledge/table-mirror.js';
import { decodeRows, encodeTable } from '../peers/encode-table.js';
import { NEVER_CONFIRMED_MS } from '../peers/peer-links.js';
import type { DecisionLog } from '../observability/decision-log.js';
import type { RegisteredEndpoint } from '../types/traffic.js';

/** Events of endpoints' starts. */
export interface EndpointListener {
  /**
   * A start of an endpoint was registered; `isFirstList`: it was among the first endpoints that this
   * instance heard of.
   */
  readonly onEndpointStarted: (endpoint: RegisteredEndpoint, isFirstList: boolean) => void;
  /** An endpoint ended or its entry was removed; `isRestarted`: a new start of it has replaced this one. */
  readonly onEndpointEnded: (endpoint: RegisteredEndpoint, isRestarted: boolean) => void;
  /** Rows were applied; `isGap`: an endpoint may have come and gone unseen before them. */
  readonly onEndpointsApplied: (isGap: boolean) => void;
}

export interface EndpointKnowledgeOptions extends EndpointListener {
  readonly log: DecisionLog;
  readonly getNow: () => number;
  readonly decodeEndpoint: (row: FeedRow) => RegisteredEndpoint | undefined;
}

export interface EndpointKnowledge {
  readonly directory: EndpointDirectory;
  /** Applies an event to the directory; `source` names its origin in the log. */
  apply(message: DirectoryMessage, source: string): void;
  /** Applies all rows of the source. */
  applyList(rows: readonly FeedRow[], response: ResponseMetadata): void;
  /** Applies changed rows of the source. */
  applyChanges(rows: readonly FeedRow[], response: ResponseMetadata): void;
  applyTable(table: TableKnowledge, renewalLeftMs: number, peer: string): void;
  /** Builds the rows that a peer lacks; undefined before the first list. */
  buildTable(knownRevision: number): TableKnowledge | undefined;
  /** Records that no endpoint changed after the last change known to a peer, up to a revision. */
  recordUnchanged(contentRevision: number, revision: number): void;
  /**
   * Records that the table was the newest at a time of the source's clock, up to its last change of
   * that revision; without effect while later changes are known elsewhere only.
   */
  recordConfirmed(contentRevision: number, knownAtMs: number): void;
  /** Latest time on the source's clock at which the table was surely the newest; minus infinity if unknown. */
  getKnownAt(): number;
  /** All changes up to this revision are included; 0 before the first list. */
  getRevision(): number;
  /** Revision of the last change to any row. */
  getContentRevision(): number;
}

export function createEndpointKnowledge(options: EndpointKnowledgeOptions): EndpointKnowledge {
  const { log, getNow } = options;
  const directory = createEndpointDirectory();
  const mirror = createTableMirror();

  let hasListed = false;
  let confirmedAtMs = -Infinity;

  function handleStarted(id: string): void {
    const endpoint = directory.find(id);
    if (endpoint !== undefined) options.onEndpointStarted(endpoint, !hasListed);
  }

  function apply(message: DirectoryMessage, source: string): void {
    for (const { endpoint, change } of directory.handle(message, getNow())) {
      const isRestarted = change === 'restarted';
      if (isRestarted || change === 'removed') options.onEndpointEnded(endpoint, isRestarted);
      if (isRestarted || change === 'added') handleStarted(endpoint.id);
      const { id, pool } = endpoint;
      log.write({ event: 'endpoint_changed', endpoint: id, pool, change, source });
    }
  }

  function parseRow(row: FeedRow): DirectoryMessage {
    const endpoint = options.decodeEndpoint(row);
    if (endpoint !== undefined) return { kind: 'registered', endpoint };
    return { kind: row.value === undefined ? 'removed' : 'unreadable', id: row.key };
  }

  function applyRows(rows: readonly FeedRow[], source: string): void {
    for (const row of rows) apply(parseRow(row), source);
  }

  function applyAllRows(rows: readonly FeedRow[], source: string): void {
    const messages = rows.map(parseRow);
    for (const message of messages) {
      if (message.kind === 'unreadable') apply(message, source);
    }
    const endpoints = messages.flatMap((message) =>
      message.kind === 'registered' ? [message.endpoint] : [],
    );
    apply({ kind: 'listed', endpoints }, source);
    hasListed = true;
  }

  /** Whether a list replaces changes that were not seen one by one. */
  function isGapBeforeList(revision: number): boolean {
    return hasListed && revision > mirror.getRevision();
  }

  /** Whether an endpoint was removed that was never seen. */
  function hasUnseen(rows: readonly FeedRow[], responseRevision: number): boolean {
    return rows.some(
      ({ key, value, revision = responseRevision }) =>
        value === undefined && revision > mirror.getRevision() && !mirror.hasKey(key),
    );
  }

  /**
   * Guards against reverting to older rows when the feed resumes at a revision before the one received from
   * peers, which would send calls to an endpoint that is leaving or to its previous start.
   */
  function isBehindPeers({ revision }: ResponseMetadata): boolean {
    return revision < mirror.getContentRevision();
  }

  return {
    directory,
    apply,
    applyList(rows, response) {
      if (isBehindPeers(response)) return;
      const isGap = isGapBeforeList(response.revision);
      mirror.setAll(rows, response.revision);
      applyAllRows(rows, 'source');
      options.onEndpointsApplied(isGap);
    },
    applyChanges(rows, response) {
      if (isBehindPeers(response)) return;
      const isGap = hasUnseen(rows, response.revision);
      mirror.apply(rows, response.revision);
      applyRows(rows, 'source');
      if (rows.length > 0) options.onEndpointsApplied(isGap);
    },
    applyTable(table, renewalLeftMs, peer) {
      if (table.revision <= mirror.getContentRevision()) return;
      // A peer that has just started sends an empty table.
      if (table.isComplete && !table.hasRows) return;
      apply({ kind: 'renewing', forMs: renewalLeftMs }, peer);
      const rows = decodeRows(table.rows);
      const isGap = table.isComplete
        ? isGapBeforeList(table.revision)
        : hasUnseen(rows, table.revision);
      mirror.applyFromPeer({ kind: table.isComplete ? 'all' : 'changed', rows }, table.revision);
      if (table.isComplete) applyAllRows(rows, peer);
      else applyRows(rows, peer);
      options.onEndpointsApplied(isGap);
    },
    recordUnchanged: (contentRevision, revision) =>
      mirror.recordUnchanged(contentRevision, revision),
    buildTable(knownRevision) {
      const revision = mirror.getContentRevision();
      if (revision === 0) return undefined;
      const knownAtMs = Math.max(NEVER_CONFIRMED_MS, confirmedAtMs);
      return encodeTable(mirror.listSince(knownRevision), revision, knownAtMs);
    },
    recordConfirmed(contentRevision, knownAtMs) {
      const isKnown = contentRevision > 0 && contentRevision <= mirror.getContentRevision();
      if (isKnown) confirmedAtMs = Math.max(confirmedAtMs, knownAtMs);
    },
    getKnownAt: () => confirmedAtMs,
    getRevision: () => mirror.getRevision(),
    getContentRevision: () => mirror.getContentRevision(),
  };
}
