/** Formats results of the command-line tools as text. */
import type { FileChange, FolderFiles } from '../configuration/manifest.js';
import type { AuditRecord } from '../configuration/store.js';
import type { DutyStatus } from '../duties/fleet-duties.js';
import type { ListedNotice } from '../endpoint-availability/availability-api.js';
import type { ListedLimit } from '../endpoint-limits/limits-api.js';
import type { KnownTiming } from '../placement/timings-api.js';
import type { ListedPace } from '../endpoint-pace/paces-api.js';
import type { ListedBrittle, ListedPath } from '../forwarding/paths-api.js';
import type { ListedCase } from '../quarantine/quarantine-api.js';
import type { RouterStatus } from '../types/router-status.js';

const SHORT_HASH_LENGTH = 8;

/** Formats rows as aligned columns. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    });
  }
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

function formatLineDiff(before: string, after: string): string[] {
  const beforeLines = new Set(before.split('\n'));
  const afterLines = new Set(after.split('\n'));
  const removed = before.split('\n').filter((line) => !afterLines.has(line));
  const added = after.split('\n').filter((line) => !beforeLines.has(line));
  return [...removed.map((line) => `  - ${line}`), ...added.map((line) => `  + ${line}`)];
}

export function formatQuarantine(cases: readonly ListedCase[]): string {
  if (cases.length === 0) return 'no requests in quarantine';
  const rows = cases.map(({ content, standing, crashes, lastCrashAgoMs }) => [
    content,
    standing,
    `${crashes} endpoints`,
    `${Math.round(lastCrashAgoMs / 1000)} s ago`,
  ]);
  return formatTable([['content', 'state', 'crashed', 'last crash'], ...rows]);
}

/** Formats the lines that differ, by file. */
export function formatChanges(
  version: number,
  changes: readonly FileChange[],
  before: FolderFiles,
  after: FolderFiles,
): string {
  if (changes.length === 0) return `no difference from version ${version}`;
  const lines = changes.flatMap((change) => {
    const state = change.before === undefined ? 'new' : 'changed';
    const title = `${change.after === undefined ? 'removed' : state} ${change.name}`;
    return [title, ...formatLineDiff(before.get(change.name) ?? '', after.get(change.name) ?? '')];
  });
  return [`changes since version ${version}:`, ...lines].join('\n');
}

export function formatHistory(records: readonly AuditRecord[]): string {
  const rows = records.flatMap((record) =>
    record.changes.map((change) => [
      `${record.fromVersion} -> ${record.version}`,
      new Date(record.atMs).toISOString(),
      record.who,
      change.name,
      `${change.before?.slice(0, SHORT_HASH_LENGTH) ?? '(new)'} -> ${change.after?.slice(0, SHORT_HASH_LENGTH) ?? '(removed)'}`,
      record.reason,
    ]),
  );
  return formatTable([['version', 'when', 'who', 'file', 'content', 'reason'], ...rows]);
}

export function formatStatus(status: RouterStatus): string {
  const members = status.members.map((member) => [
    member.name,
    member.dataCentre,
    member.state,
    String(member.configurationVersion),
  ]);
  const endpoints = status.shards.flatMap((shard) =>
    shard.endpoints.map((endpoint) => [
      endpoint.name,
      shard.shard,
      endpoint.status,
      `${endpoint.held}/${endpoint.slots}`,
      `${endpoint.stepMs.toFixed(1)} ms`,
    ]),
  );
  return [
    `${status.name} in ${status.dataCentre}: ${status.stage}, version ${status.configurationVersion}, ${status.requestsInFlight} requests in flight, ${status.ticketsWaiting} waiting`,
    '',
    formatTable([['instance', 'data centre', 'state', 'version'], ...members]),
    '',
    endpoints.length === 0
      ? 'this router owns no shards'
      : formatTable([['endpoint', 'shard', 'status', 'slots', 'step'], ...endpoints]),
    '',
    `leaving endpoints: ${status.leavingEndpoints.join(', ') || 'none'}`,
    `invariant breaches: ${status.invariantBreaches}`,
  ].join('\n');
}

/** Formats the rate limits that endpoints name. */
export function formatLimits(limits: readonly ListedLimit[]): string {
  if (limits.length === 0) return 'no endpoint names a rate limit';
  const rows = limits.map(({ endpoint, start, perSecond, source, knownForMs, observedAgoMs }) => [
    endpoint,
    start,
    `${perSecond}/s`,
    source,
    `${Math.round(knownForMs / 1000)} s`,
    `${(observedAgoMs / 1000).toFixed(1)} s ago`,
  ]);
  return formatTable([
    ['endpoint', 'start', 'limit', 'source', 'known for', 'last named'],
    ...rows,
  ]);
}

/** Formats the endpoints that said that they are leaving or want rest. */
export function formatNotices(notices: readonly ListedNotice[]): string {
  if (notices.length === 0) return 'no endpoint is leaving or wants rest';
  const rows = notices.map(({ endpoint, start, notice, source, heardAgoMs, endsInMs }) => [
    endpoint,
    start,
    notice,
    source,
    `${(heardAgoMs / 1000).toFixed(1)} s ago`,
    `${(endsInMs / 1000).toFixed(1)} s`,
  ]);
  return formatTable([['endpoint', 'start', 'notice', 'source', 'heard', 'ends in'], ...rows]);
}

/** Formats the endpoints that a router does not reach, or doubts to reach. */
export function formatPaths(paths: readonly ListedPath[]): string {
  if (paths.length === 0) return 'the router reaches all endpoints that it uses';
  const rows = paths.map(({ endpoint, state, evidence, sinceMs }) => [
    endpoint,
    state,
    `${(sinceMs / 1000).toFixed(1)} s`,
    evidence,
  ]);
  return formatTable([['endpoint', 'path', 'for', 'evidence'], ...rows]);
}

/** Formats the endpoints that crash if they have to reject too many requests. */
export function formatBrittle(brittle: readonly ListedBrittle[]): string {
  if (brittle.length === 0) return 'no endpoint is brittle';
  const rows = brittle.map(({ endpoint, rejectionsMax, source, heardAgoMs }) => [
    endpoint,
    `${rejectionsMax}/s`,
    source,
    `${(heardAgoMs / 1000).toFixed(1)} s ago`,
  ]);
  return formatTable([['endpoint', 'rejections', 'source', 'heard'], ...rows]);
}

/** Formats the timing of engines, those with the longest pauses first. */
export function formatTimings(timings: readonly KnownTiming[]): string {
  if (timings.length === 0) return 'no timing of engines is known, or the feature is off';
  const sorted = [...timings].sort((a, b) => (b.pauseMs ?? 0) - (a.pauseMs ?? 0));
  const rows = sorted.map(({ endpoint, pool, running, pauseMs, slowdown }) => [
    endpoint,
    pool,
    String(running),
    pauseMs === null ? 'unknown' : `${pauseMs.toFixed(0)} ms`,
    slowdown.toFixed(2),
  ]);
  return formatTable([['engine', 'pool', 'running', 'pause', 'slowdown'], ...rows]);
}

/** Formats the endpoints whose running calls are limited after they started or failed. */
export function formatPaces(paces: readonly ListedPace[]): string {
  const limited = paces.filter(({ limit }) => limit !== null);
  const settled = `${paces.length - limited.length} of ${paces.length} endpoints have no limit`;
  if (limited.length === 0) return settled;
  const rows = limited.map(({ endpoint, pool, state, limit, ownLimit, sinceMs }) => [
    endpoint,
    pool,
    state,
    `${(sinceMs / 1000).toFixed(1)} s`,
    String(limit),
    String(ownLimit),
  ]);
  const header = ['endpoint', 'pool', 'pace', 'for', 'limit', 'own limit'];
  return [formatTable([header, ...rows]), settled].join('\n');
}

/** Formats the holder of the fleet duties and, if it is this router, the requested scale of each pool. */
export function formatDuties(duties: DutyStatus | null): string {
  if (duties === null) return 'the platform does not use fleet duties';
  const { holder, fence, isOwn, ageMs, unsentWindows, desired } = duties;
  if (holder === undefined) return 'the holder is not known yet; try again in a few seconds';
  const since = `held for ${Math.round(ageMs / 1000)} s`;
  const lines = [
    `holder ${holder}${isOwn ? ' (this router)' : ''}, fencing token ${fence}, ${since}`,
  ];
  if (!isOwn) return [...lines, 'query the holder for its reports and scale requests'].join('\n');
  const orders = desired.map(
    ({ pool, dataCentre, isSpot, count }) =>
      `${pool} in ${dataCentre}: ${count} ${isSpot ? 'spot' : 'on-demand'}`,
  );
  return [...lines, `usage windows not yet accepted: ${unsentWindows}`, ...orders].join('\n');
}
