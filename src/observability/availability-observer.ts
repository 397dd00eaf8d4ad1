/** Logs what instances learn of endpoints that are leaving or want rest, and records their metrics. */
import type { AvailabilityObserver } from '../endpoint-availability/endpoint-availability.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { CallMetrics } from './call-metrics.js';
import type { DecisionLog } from './decision-log.js';
import { UNKNOWN_PLACE } from './unknown-values.js';
import type { UnknownValues } from './unknown-values.js';

export interface AvailabilityObserverOptions {
  readonly log: DecisionLog;
  readonly metrics: Pick<CallMetrics, 'recordNotice'>;
  readonly unknownValues: UnknownValues;
  readonly getNow: () => number;
  /** Returns the name of an endpoint, or undefined if it is unknown to this instance. */
  readonly findName: (start: EndpointKey) => string | undefined;
}

export function createAvailabilityObserver(
  options: AvailabilityObserverOptions,
): AvailabilityObserver {
  const { log, metrics } = options;
  return {
    onChanged({ change, notice }) {
      const { kind, endpoint, source, heardMs, untilMs } = notice;
      const nowMs = options.getNow();
      const start = endpoint.toString(16);
      metrics.recordNotice(kind, change);
      log.write({
        event: 'endpoint_notice',
        endpoint: options.findName(endpoint) ?? start,
        start,
        notice: kind,
        change,
        source,
        ageMs: Math.round(nowMs - heardMs),
        endsInMs: Math.max(0, Math.round(untilMs - nowMs)),
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
