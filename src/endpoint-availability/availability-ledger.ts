/**
 * The endpoints that said in a response that they are leaving or want rest, as known to one
 * instance. A notice belongs to one start of an endpoint: a restarted endpoint is free at once.
 * Performs no I/O.
 */
import { REST_MAX_MS } from './availability-notice.js';
import type { EndpointKey } from '../placement/remote-loads.js';

/**
 * Time after the last response that said so at which a leaving endpoint is used again if the registry
 * still lists it as open, so that one that stays after all does not idle for ever.
 */
export const LEAVING_MEMORY_MS = 600_000;
/** Transit time of a report, by which what it says may be older than it appears. */
const TRANSIT_MAX_MS = 500;
/**
 * Smallest extension that is reported, since calls in flight end with the same notice one after the
 * other.
 */
const EXTENSION_MIN_MS = 1000;
/** Endpoints in one report; the others follow in turn. */
const REPORT_ENDPOINTS_MAX = 12;
/** Limit of the endpoints with a notice; the oldest give way. */
const ENDPOINTS_MAX = 4096;

export const NOTICE = {
  Leaving: 'leaving',
  /** The endpoint wants no requests from this instance. */
  Resting: 'resting',
  /** The endpoint wants no requests from another instance. */
  RestingElsewhere: 'resting_elsewhere',
} as const;
export type NoticeKind = (typeof NOTICE)[keyof typeof NOTICE];

export interface KnownNotice {
  readonly kind: NoticeKind;
  readonly endpoint: EndpointKey;
  /** When a response last said so. */
  readonly heardMs: number;
  readonly untilMs: number;
  /** 'own' or the name of the instance that reported it. */
  readonly source: string;
}

/** What is known of one endpoint, as sent between instances. */
export interface NoticeReport {
  readonly endpoint: EndpointKey;
  /** Time since a response said that the endpoint is leaving; undefined if none did. */
  readonly leavingAgoMs: number | undefined;
  /** Time for which an instance was asked to send nothing; 0 if none was. */
  readonly restLeftMs: number;
}

export interface NoticeChange {
  readonly change: 'learned' | 'extended' | 'ended';
  readonly notice: KnownNotice;
}

export interface AvailabilityLedger {
  /** Records that a response said that the endpoint is leaving. */
  recordLeaving(endpoint: EndpointKey, nowMs: number): NoticeChange | undefined;
  /** Records that a response asked this instance for rest. A shorter rest does not end a longer one. */
  recordRest(endpoint: EndpointKey, restMs: number, nowMs: number): NoticeChange | undefined;
  merge(reports: readonly NoticeReport[], source: string, nowMs: number): NoticeChange[];
  /** Reports some of the endpoints that satisfy `isReported`; the others follow in turn. */
  buildReports(isReported: (endpoint: EndpointKey) => boolean, nowMs: number): NoticeReport[];
  isLeaving(endpoint: EndpointKey): boolean;
  /** End of the rest that the endpoint asked this instance for; undefined if it wants none. */
  findRestEnd(endpoint: EndpointKey, nowMs: number): number | undefined;
  /** Whether the endpoint asked another instance for rest that is not over. */
  isRestingElsewhere(endpoint: EndpointKey, nowMs: number): boolean;
  hasAny(): boolean;
  /** Increases with every change. */
  getVersion(): number;
  list(): KnownNotice[];
  /** Forgets an endpoint that has ended. */
  remove(endpoint: EndpointKey): NoticeChange[];
  removeExpired(nowMs: number): NoticeChange[];
}

type Notices = Map<EndpointKey, KnownNotice>;

export function createAvailabilityLedger(): AvailabilityLedger {
  const leaving: Notices = new Map();
  const resting: Notices = new Map();
  const restingElsewhere: Notices = new Map();
  let version = 0;
  let reportIndex = 0;

  /**
   * Sets a notice that ends later than a known one. Changes nothing if it does so by `marginMs` at
   * most, and reports no extension below `EXTENSION_MIN_MS`.
   */
  function setNotice(
    notices: Notices,
    notice: KnownNotice,
    marginMs = 0,
  ): NoticeChange | undefined {
    const known = notices.get(notice.endpoint);
    const extensionMs = notice.untilMs - (known?.untilMs ?? -Infinity);
    if (extensionMs <= marginMs) return undefined;
    notices.delete(notice.endpoint);
    notices.set(notice.endpoint, notice);
    const [oldest] = notices.keys();
    if (notices.size > ENDPOINTS_MAX) notices.delete(oldest as EndpointKey);
    version += 1;
    if (known === undefined) return { change: 'learned', notice };
    return extensionMs < EXTENSION_MIN_MS ? undefined : { change: 'extended', notice };
  }

  function listEnded(isEnded: (notice: KnownNotice) => boolean): NoticeChange[] {
    const ended: NoticeChange[] = [];
    for (const notices of [leaving, resting, restingElsewhere]) {
      for (const notice of notices.values()) {
        if (isEnded(notice)) {
          notices.delete(notice.endpoint);
          ended.push({ change: 'ended', notice });
        }
      }
    }
    if (ended.length > 0) version += 1;
    return ended;
  }

  function buildLeaving(endpoint: EndpointKey, heardMs: number, source: string): KnownNotice {
    const untilMs = heardMs + LEAVING_MEMORY_MS;
    return { kind: NOTICE.Leaving, endpoint, heardMs, untilMs, source };
  }

  /**
   * The margins guard against instances that make a notice younger each time they send it back and
   * forth, so that it never ends.
   */
  function mergeReport(report: NoticeReport, source: string, nowMs: number): NoticeChange[] {
    const { endpoint, leavingAgoMs, restLeftMs } = report;
    const changes: (NoticeChange | undefined)[] = [];
    if (leavingAgoMs !== undefined && leavingAgoMs < LEAVING_MEMORY_MS) {
      const notice = buildLeaving(endpoint, nowMs - leavingAgoMs, source);
      changes.push(setNotice(leaving, notice, TRANSIT_MAX_MS));
    }
    if (restLeftMs > 0) {
      const untilMs = nowMs + Math.min(REST_MAX_MS, restLeftMs);
      const kind = NOTICE.RestingElsewhere;
      const notice = { kind, endpoint, heardMs: nowMs, untilMs, source };
      const ownUntilMs = resting.get(endpoint)?.untilMs ?? -Infinity;
      // Otherwise it may be what this instance reported.
      if (untilMs > ownUntilMs + TRANSIT_MAX_MS)
        changes.push(setNotice(restingElsewhere, notice, TRANSIT_MAX_MS));
    }
    return changes.filter((change) => change !== undefined);
  }

  function buildReport(endpoint: EndpointKey, nowMs: number): NoticeReport {
    const heardMs = leaving.get(endpoint)?.heardMs;
    const restUntilMs = Math.max(
      resting.get(endpoint)?.untilMs ?? nowMs,
      restingElsewhere.get(endpoint)?.untilMs ?? nowMs,
    );
    return {
      endpoint,
      leavingAgoMs: heardMs === undefined ? undefined : nowMs - heardMs,
      restLeftMs: restUntilMs - nowMs,
    };
  }

  return {
    recordLeaving: (endpoint, nowMs) => setNotice(leaving, buildLeaving(endpoint, nowMs, 'own')),
    recordRest: (endpoint, restMs, nowMs) =>
      setNotice(resting, {
        kind: NOTICE.Resting,
        endpoint,
        heardMs: nowMs,
        untilMs: nowMs + restMs,
        source: 'own',
      }),
    merge: (reports, source, nowMs) =>
      reports.flatMap((report) => mergeReport(report, source, nowMs)),
    buildReports(isReported, nowMs) {
      const known = [...leaving.keys(), ...resting.keys(), ...restingElsewhere.keys()];
      const all = [...new Set(known)].filter(isReported);
      reportIndex = reportIndex >= all.length ? 0 : reportIndex;
      const reported = all.slice(reportIndex, reportIndex + REPORT_ENDPOINTS_MAX);
      reportIndex += reported.length;
      return reported.map((endpoint) => buildReport(endpoint, nowMs));
    },
    isLeaving: (endpoint) => leaving.has(endpoint),
    findRestEnd(endpoint, nowMs) {
      const untilMs = resting.get(endpoint)?.untilMs;
      return untilMs === undefined || untilMs <= nowMs ? undefined : untilMs;
    },
    isRestingElsewhere: (endpoint, nowMs) =>
      (restingElsewhere.get(endpoint)?.untilMs ?? nowMs) > nowMs,
    hasAny: () => leaving.size > 0 || resting.size > 0 || restingElsewhere.size > 0,
    getVersion: () => version,
    list: () => [...leaving.values(), ...resting.values(), ...restingElsewhere.values()],
    remove: (endpoint) => listEnded((notice) => notice.endpoint === endpoint),
    removeExpired: (nowMs) => listEnded(({ untilMs }) => untilMs <= nowMs),
  };
}
