/** Logs what instances learn of the rate limits of endpoints. */
import type { LimitChange } from '../endpoint-limits/limit-ledger.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import type { DecisionLog } from './decision-log.js';
import { UNKNOWN_PLACE } from './unknown-values.js';
import type { UnknownValues } from './unknown-values.js';

export interface LimitObserver {
  onChanged(change: LimitChange): void;
  onUnreadable(endpoint: RegisteredEndpoint, text: string): void;
}

export interface LimitObserverOptions {
  readonly log: DecisionLog;
  readonly unknownValues: UnknownValues;
  readonly getNow: () => number;
  /** Returns the name of an endpoint, or undefined if it is unknown to this instance. */
  readonly findName: (start: EndpointKey) => string | undefined;
}

export function createLimitObserver(options: LimitObserverOptions): LimitObserver {
  return {
    onChanged({ limit, previousPerSecond }) {
      const { endpoint, perSecond, observedMs, source } = limit;
      const start = endpoint.toString(16);
      options.log.write({
        event: 'endpoint_limited',
        endpoint: options.findName(endpoint) ?? start,
        start,
        perSecond: perSecond ?? null,
        previousPerSecond: previousPerSecond ?? null,
        source,
        ageMs: Math.round(options.getNow() - observedMs),
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
  };
}
