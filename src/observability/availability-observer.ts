/** Logs what instances learn of endpoints that are leaving or want rest, and records their metrics. */
import type { KnownNotice } from '../endpoint-availability/availability-ledger.js';
import type { AvailabilityObserver } from '../endpoint-availability/endpoint-availability.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { CallMetrics } from './call-metrics.js';
import type { DecisionLog } from './decision-log.js';
import { UNKNOWN_PLACE } from './unknown-values.js';
import type { UnknownValues } from './unknown-values.js';

/** Endpoints named in the line of a refused call. */
const LOGGED_ENDPOINTS_MAX = 8;

export interface AvailabilityObserverOptions {
  readonly log: DecisionLog;
  readonly metrics: Pick<CallMetrics, 'recordNotice' | 'recordRestRefusal'>;
  readonly unknownValues: UnknownValues;
  readonly getNow: () => number;
  /** Returns the name of an endpoint, or undefined if it is unknown to this instance. */
  readonly findName: (start: EndpointKey) => string | undefined;
}

export function createAvailabilityObserver(
  options: AvailabilityObserverOptions,
): AvailabilityObserver {
  const { log, metrics } = options;

  function buildFields({ endpoint, source, heardMs, untilMs }: KnownNotice) {
    const nowMs = options.getNow();
    const start = endpoint.toString(16);
    return {
      endpoint: options.findName(endpoint) ?? start,
      start,
      source,
      ageMs: Math.round(nowMs - heardMs),
      endsInMs: Math.max(0, Math.round(untilMs - nowMs)),
    };
  }

  function describeNotice(notice: KnownNotice): string {
    const { endpoint, start, source, ageMs, endsInMs } = buildFields(notice);
    return `${endpoint} (start ${start}): ${source}, ${ageMs} ms ago, ends in ${endsInMs} ms`;
  }

  return {
    onChanged({ change, notice }) {
      metrics.recordNotice(notice.kind, change);
      log.write({ event: 'endpoint_notice', notice: notice.kind, change, ...buildFields(notice) });
    },
    onRefused({ callId, pool, urgency, organisation }, resting, retryAfterMs) {
      metrics.recordRestRefusal();
      log.write({
        event: 'rest_refused',
        request: callId,
        pool,
        urgency,
        organisation: organisation ?? '',
        resting: resting.slice(0, LOGGED_ENDPOINTS_MAX).map(describeNotice),
        retryAfterMs,
      });
    },
    onUnreadable(_, text) {
      options.unknownValues.record({
        place: UNKNOWN_PLACE.Endpoint,
        field: 'rest',
        value: text,
        handledAs: 'passed over',
      });
    },
  };
}
