/** Counts connections that were closed because of what their server sent, and logs each server now and then. */
import { describeAnswerFault } from '../connections/answer-guard.js';
import type { AnswerFault } from '../connections/answer-guard.js';
import { createBoundedMap } from '../utils/bounded-map.js';
import type { CallMetrics } from './call-metrics.js';
import type { DecisionLog } from './decision-log.js';

/** The same fault of the same server is logged again after this time. */
const LOG_INTERVAL_MS = 60_000;
const REMEMBERED_MAX = 256;

/** Servers that this process connects to, as label values. */
export const ANSWER_SOURCE = { Endpoint: 'endpoint', Store: 'store' } as const;
export type AnswerSource = (typeof ANSWER_SOURCE)[keyof typeof ANSWER_SOURCE];

export interface AnswerFaultObserver {
  /** `address`: HOST:PORT of the server, or its origin. */
  onFault(source: AnswerSource, address: string, fault: AnswerFault): void;
}

export interface AnswerFaultObserverOptions {
  readonly log: DecisionLog;
  readonly metrics: Pick<CallMetrics, 'recordAnswerFault'>;
  readonly getNow: () => number;
}

interface LoggedFault {
  readonly loggedMs: number;
  readonly unlogged: number;
}

export function createAnswerFaultObserver({
  log,
  metrics,
  getNow,
}: AnswerFaultObserverOptions): AnswerFaultObserver {
  const logged = createBoundedMap<string, LoggedFault>(REMEMBERED_MAX);
  return {
    onFault(source, address, fault) {
      metrics.recordAnswerFault(source, fault);
      const key = `${fault} ${address}`;
      const nowMs = getNow();
      const { loggedMs, unlogged } = logged.get(key) ?? { loggedMs: -Infinity, unlogged: 0 };
      const connections = unlogged + 1;
      if (nowMs - loggedMs < LOG_INTERVAL_MS) {
        logged.set(key, { loggedMs, unlogged: connections });
        return;
      }
      logged.set(key, { loggedMs: nowMs, unlogged: 0 });
      log.write({
        event: 'answer_refused',
        source,
        address,
        fault,
        reason: describeAnswerFault(fault),
        connections,
      });
    },
  };
}
