/** Logs what instances learn of brittle endpoints, and records their metrics. */
import type { EndpointKey } from '../placement/remote-loads.js';
import type { SlotSharesObserver } from '../slot-shares/slot-shares.js';
import type { CallMetrics } from './call-metrics.js';
import type { DecisionLog } from './decision-log.js';
import { UNKNOWN_PLACE } from './unknown-values.js';
import type { UnknownValues } from './unknown-values.js';

export interface ShareObserverOptions {
  readonly log: DecisionLog;
  readonly metrics: Pick<CallMetrics, 'recordShareRefusal'>;
  readonly unknownValues: UnknownValues;
  readonly getNow: () => number;
  /** Returns the name of an endpoint, or undefined if it is unknown to this instance. */
  readonly findName: (start: EndpointKey) => string | undefined;
}

export function createShareObserver(options: ShareObserverOptions): SlotSharesObserver {
  const { log, metrics } = options;
  return {
    onChanged({ isBrittle, known: { endpoint, rejectionsMax, source, heardMs } }) {
      const start = endpoint.toString(16);
      log.write({
        event: 'endpoint_brittle',
        endpoint: options.findName(endpoint) ?? start,
        start,
        isBrittle,
        rejectionsMax,
        source,
        ageMs: Math.round(options.getNow() - heardMs),
      });
    },
    onUnreadable(text) {
      options.unknownValues.record({
        place: UNKNOWN_PLACE.Endpoint,
        field: 'brittle',
        value: text,
        handledAs: 'brittle, no rejection allowed',
      });
    },
    onRefused({ callId, pool, urgency, organisation }) {
      metrics.recordShareRefusal();
      log.write({
        event: 'share_refused',
        request: callId,
        pool,
        urgency,
        organisation: organisation ?? '',
      });
    },
  };
}
