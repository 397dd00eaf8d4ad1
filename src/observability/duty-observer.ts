/** Logs events of fleet duties and records their metrics. */
import type { DutyObserver } from '../duties/duty-observer.js';
import type { CallMetrics } from './call-metrics.js';
import type { DecisionLog } from './decision-log.js';

export interface DutyObserverOptions {
  readonly log: DecisionLog;
  readonly metrics: Pick<CallMetrics, 'recordDuty'>;
}

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
