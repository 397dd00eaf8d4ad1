/** Logs what instances learn of the rate limits of endpoints and records their metrics. */
import type { KnownLimit } from '../endpoint-limits/limit-ledger.js';
import type { SendLimitsObserver } from '../endpoint-limits/send-limits.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { CallMetrics } from './call-metrics.js';
import type { DecisionLog } from './decision-log.js';
import { UNKNOWN_PLACE } from './unknown-values.js';
import type { UnknownValues } from './unknown-values.js';

/** Limits named in the line of a refused call. */
const LOGGED_LIMITS_MAX = 8;

export interface LimitObserverOptions {
  readonly log: DecisionLog;
  readonly metrics: Pick<CallMetrics, 'recordLimitedSend' | 'recordLimitRefusal'>;
  readonly unknownValues: UnknownValues;
  readonly getNow: () => number;
  /** Returns the name of an endpoint, or undefined if it is unknown to this instance. */
  readonly findName: (start: EndpointKey) => string | undefined;
}

export function createLimitObserver(options: LimitObserverOptions): SendLimitsObserver {
  const { log, metrics } = options;

  function describeStart(endpoint: EndpointKey): string {
    return endpoint.toString(16);
  }

  function computeAgeMs({ observedMs }: KnownLimit): number {
    return Math.round(options.getNow() - observedMs);
  }

  function describeLimit(limit: KnownLimit): string {
    const { endpoint, perSecond, source } = limit;
    const name = options.findName(endpoint) ?? describeStart(endpoint);
    const age = computeAgeMs(limit);
    return `${name} (start ${describeStart(endpoint)}): ${perSecond}/s, ${source}, ${age} ms ago`;
  }

  return {
    onChanged({ limit, previousPerSecond }) {
      const { endpoint, perSecond, source } = limit;
      log.write({
        event: 'endpoint_limited',
        endpoint: options.findName(endpoint) ?? describeStart(endpoint),
        start: describeStart(endpoint),
        perSecond: perSecond ?? null,
        previousPerSecond: previousPerSecond ?? null,
        source,
        ageMs: computeAgeMs(limit),
      });
    },
    onUnreadable(_, text) {
      options.unknownValues.record({
        place: UNKNOWN_PLACE.Endpoint,
        field: 'rate limit',
        value: text,
        handledAs: 'passed over',
      });
    },
    onSent: () => metrics.recordLimitedSend(),
    onRefused({ callId, pool, urgency, organisation }, limits, retryAfterMs) {
      metrics.recordLimitRefusal();
      log.write({
        event: 'limit_refused',
        request: callId,
        pool,
        urgency,
        organisation: organisation ?? '',
        limits: limits.slice(0, LOGGED_LIMITS_MAX).map(describeLimit),
        retryAfterMs,
      });
    },
  };
}
