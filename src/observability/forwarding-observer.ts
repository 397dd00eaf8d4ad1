/** Logs paths to endpoints and calls through peers, and records their metrics. */
import type { ForwardingObserver } from '../gateway/call-forwarding.js';
import type { CallMetrics } from './call-metrics.js';
import type { DecisionLog } from './decision-log.js';

export interface ForwardingObserverOptions {
  readonly log: DecisionLog;
  readonly metrics: Pick<CallMetrics, 'recordForward' | 'recordCarried'>;
  /** Returns the id of an endpoint by its start, or undefined if it is unknown to this instance. */
  readonly findId: (start: string) => string | undefined;
}

export function createForwardingObserver(options: ForwardingObserverOptions): ForwardingObserver {
  const { log, metrics } = options;
  const getId = (start: string): string => options.findId(start) ?? start;
  return {
    onPathChanged({ start, state, previous, evidence, lastedMs }) {
      log.write({
        event: 'path_changed',
        endpoint: getId(start),
        state,
        previous,
        evidence,
        lastedMs: Math.round(lastedMs),
      });
    },
    onForwarded({ call, endpoint, peer, result, detail, tookMs }) {
      metrics.recordForward(result);
      log.write({
        event: 'call_forwarded',
        request: call.callId,
        endpoint,
        peer,
        result,
        detail,
        tookMs: Math.round(tookMs),
      });
    },
    onCarried({ offer, result, detail, tookMs }) {
      metrics.recordCarried(result);
      log.write({
        event: 'call_carried',
        request: offer.callId,
        endpoint: getId(offer.endpointStart),
        peer: offer.from,
        result,
        detail,
        tookMs: Math.round(tookMs),
      });
    },
  };
}
