/** Logs changes of the pace of endpoints. */
import { PACE_STATE } from '../endpoint-pace/pace.js';
import type { EndpointPaceObserver } from '../endpoint-pace/endpoint-pace.js';
import type { DecisionLog } from './decision-log.js';

export function createPaceObserver(log: DecisionLog): EndpointPaceObserver {
  return {
    onChanged({ endpoint: { id, pool }, from, pace }) {
      log.write({
        event: 'endpoint_pace_changed',
        endpoint: id,
        pool,
        from,
        to: pace.kind,
        limit: pace.kind === PACE_STATE.Settled ? undefined : pace.limit,
        trouble: pace.kind === PACE_STATE.FallingBack ? pace.trouble : undefined,
      });
    },
    onFailed: (reason) => log.write({ event: 'endpoint_pace_failed', reason }),
  };
}
