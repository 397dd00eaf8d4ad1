/** Turns what happens to the fleet's duties into log lines and metrics. */
import type { DutyObserver } from '../duties/duty-observer.js';
import type { CallMetrics } from './call-metrics.js';
import type { DecisionLog } from './decision-log.js';

/** What the observer writes to. */
export interface DutyObserverOptions {
  readonly log: DecisionLog;
  readonly metrics: Pick<CallMetrics, 'recordDuty'>;
}

/** Builds an observer. */
export function createDutyObserver({ log, metrics }: DutyObserverOptions): DutyObserver {
  return {
    onHolderChanged: (holder) => log.write({ event: 'duty_holder_changed', ...holder }),
    onUsageReported({ window, counts }, outcome) {
      metrics.recordDuty('usage', outcome);
      log.write({
        event: 'usage_reported',
        window,
        organisations: counts.length,
        calls: counts.reduce((sum, { count }) => sum + count, 0),
        outcome,
      });
    },
    onScaleRequested({ dataCentre, ...order }, outcome) {
      metrics.recordDuty('order', outcome);
      log.write({ event: 'pool_ordered', ...order, inDataCentre: dataCentre, outcome });
    },
    onError: (reason) => log.write({ event: 'duty_failed', reason }),
  };
}
