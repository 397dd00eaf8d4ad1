/**
 * The rate limits of endpoints as known to one instance, from responses and from other instances.
 * Limits belong to one start of an endpoint: a restarted endpoint has none. Performs no I/O.
 */
import type { EndpointKey } from '../placement/remote-loads.js';
import type { RateLimitReading } from './rate-limit.js';

/** Time for which a lifted limit is remembered, so that older reports do not bring it back. */
const LIFTED_MEMORY_MS = 10_000;
/** Time after the last observation by any instance at which a limit is forgotten. */
const LIMIT_MEMORY_MS = 120_000;
/** Transit time of a report, by which its observation may be older than it appears. */
const TRANSIT_MAX_MS = 500;
/** Limits in one report; the others follow in turn. */
const REPORT_LIMITS_MAX = 12;

/** A limit, or that it was lifted, as sent between instances. */
export interface LimitReport {
  readonly endpoint: EndpointKey;
  /** Undefined if the endpoint has lifted its limit. */
  readonly perSecond: number | undefined;
  /** Time since a response said so. */
  readonly ageMs: number;
}

export interface KnownLimit {
  readonly endpoint: EndpointKey;
  /** Undefined if the endpoint has lifted its limit. */
  readonly perSecond: number | undefined;
  /** When this instance first heard of a limit of the endpoint. */
  readonly learnedMs: number;
  /** When a response last said so, at any instance. */
  readonly observedMs: number;
  /** 'own' or the name of the instance that reported it. */
  readonly source: string;
}

export interface LimitChange {
  readonly limit: KnownLimit;
  /** Rate before; undefined if there was no limit. */
  readonly previousPerSecond: number | undefined;
}

export interface LimitLedger {
  /** Records what a response to a request that was sent at `sentMs` says. */
  recordAnswer(
    endpoint: EndpointKey,
    reading: RateLimitReading,
    sentMs: number,
    nowMs: number,
  ): LimitChange | undefined;
  merge(reports: readonly LimitReport[], source: string, nowMs: number): LimitChange[];
  /** Rate of the endpoint; undefined if it has no limit. */
  getRate(endpoint: EndpointKey): number | undefined;
  find(endpoint: EndpointKey): KnownLimit | undefined;
  /** Limits in force. */
  list(): KnownLimit[];
  hasAny(): boolean;
  buildReports(nowMs: number): LimitReport[];
  /** Forgets an endpoint that has ended. */
  remove(endpoint: EndpointKey): void;
  removeExpired(nowMs: number): void;
}

export function createLimitLedger(): LimitLedger {
  const limits = new Map<EndpointKey, KnownLimit>();
  let reportIndex = 0;

  function setLimit(limit: KnownLimit): LimitChange | undefined {
    const previous = limits.get(limit.endpoint);
    limits.set(limit.endpoint, limit);
    if (previous?.perSecond === limit.perSecond) return undefined;
    return { limit, previousPerSecond: previous?.perSecond };
  }

  function mergeReport(
    { endpoint, perSecond, ageMs }: LimitReport,
    source: string,
    nowMs: number,
  ): LimitChange | undefined {
    const observedMs = nowMs - ageMs;
    const known = limits.get(endpoint);
    if (known === undefined && perSecond === undefined) return undefined;
    // Guards against a report on its way that lifts or raises a limit named after it, and against
    // instances that make an observation younger each time they send it back and forth.
    const isStricter = (perSecond ?? Infinity) < (known?.perSecond ?? Infinity);
    const marginMs = isStricter ? 0 : TRANSIT_MAX_MS;
    if (known !== undefined && observedMs - marginMs <= known.observedMs) return undefined;
    return setLimit({
      endpoint,
      perSecond,
      learnedMs: known?.learnedMs ?? nowMs,
      observedMs,
      source,
    });
  }

  return {
    recordAnswer(endpoint, reading, sentMs, nowMs) {
      const known = limits.get(endpoint);
      switch (reading.kind) {
        case 'unreadable':
          return undefined;
        case 'none':
          // The response to an earlier request may have been made before the limit was named.
          if (known?.perSecond === undefined || sentMs < known.observedMs) return undefined;
          return setLimit({ ...known, perSecond: undefined, observedMs: nowMs, source: 'own' });
        default: {
          const { perSecond } = reading;
          const learnedMs = known?.perSecond === undefined ? nowMs : known.learnedMs;
          return setLimit({ endpoint, perSecond, learnedMs, observedMs: nowMs, source: 'own' });
        }
      }
    },
    merge(reports, source, nowMs) {
      return reports
        .map((report) => mergeReport(report, source, nowMs))
        .filter((change) => change !== undefined);
    },
    getRate: (endpoint) => limits.get(endpoint)?.perSecond,
    find: (endpoint) => limits.get(endpoint),
    list: () => [...limits.values()].filter(({ perSecond }) => perSecond !== undefined),
    hasAny: () => limits.size > 0,
    buildReports(nowMs) {
      const all = [...limits.values()];
      reportIndex = reportIndex >= all.length ? 0 : reportIndex;
      const reported = all.slice(reportIndex, reportIndex + REPORT_LIMITS_MAX);
      reportIndex += reported.length;
      return reported.map(({ endpoint, perSecond, observedMs }) => ({
        endpoint,
        perSecond,
        ageMs: nowMs - observedMs,
      }));
    },
    remove(endpoint) {
      limits.delete(endpoint);
    },
    removeExpired(nowMs) {
      for (const { endpoint, perSecond, observedMs } of limits.values()) {
        const memoryMs = perSecond === undefined ? LIFTED_MEMORY_MS : LIMIT_MEMORY_MS;
        if (nowMs - observedMs > memoryMs) limits.delete(endpoint);
      }
    },
  };
}
