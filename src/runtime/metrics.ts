/** DogStatsD metrics, by hot-shots. Totals are also kept for the `status` command. */
import { StatsD } from 'hot-shots';

/** Metric names, documented in docs/OPERATIONS.md. */
export const METRIC = {
  RequestsStarted: 'requests.started',
  RequestsCompleted: 'requests.completed',
  RequestsFailed: 'requests.failed',
  FirstTokenMs: 'requests.first_token_ms',
  TokensDelivered: 'tokens.delivered',
  TokensWasted: 'tokens.wasted',
  AttemptsStarted: 'attempts.started',
  AttemptsResumed: 'attempts.resumed',
  FramesDropped: 'attempts.frames_dropped',
  Preempted: 'admission.preempted',
  TicketsShed: 'admission.shed',
  TicketsWaiting: 'admission.waiting',
  ClaimsWritten: 'claims.written',
  ClaimsRefused: 'claims.refused',
  ConfigurationVersion: 'configuration.version',
  ConfigurationErrors: 'configuration.errors',
  MembersAlive: 'membership.alive',
  PeerMessagesSent: 'peers.messages_sent',
  PeerMessagesDropped: 'peers.messages_dropped',
  OrdersSent: 'orders.sent',
  RestsAsked: 'endpoints.rests_asked',
  InvariantBreaches: 'invariants.breaches',
  /** Errors that tasks of the process threw. */
  TaskFailures: 'tasks.failed',
} as const;
export type Metric = (typeof METRIC)[keyof typeof METRIC];

export interface Metrics {
  count(metric: Metric, value?: number, tags?: Readonly<Record<string, string>>): void;
  set(metric: Metric, value: number): void;
  record(metric: Metric, milliseconds: number, tags?: Readonly<Record<string, string>>): void;
  /** Returns totals of counters and last values of gauges. */
  list(): Readonly<Record<string, number>>;
  close(): void;
}

/** Without a host, totals are kept but nothing is sent. */
export function createMetrics(host: string | undefined, port: number): Metrics {
  const client =
    host === undefined
      ? undefined
      : new StatsD({
          host,
          port,
          prefix: 'hyssoptally.',
          maxBufferSize: 1400,
          errorHandler: () => undefined,
        });
  const totals = new Map<string, number>();
  return {
    count(metric, value = 1, tags = {}) {
      totals.set(metric, (totals.get(metric) ?? 0) + value);
      client?.increment(metric, value, { ...tags });
    },
    set(metric, value) {
      totals.set(metric, value);
      client?.gauge(metric, value);
    },
    record(metric, milliseconds, tags = {}) {
      client?.timing(metric, milliseconds, { ...tags });
    },
    list: () => Object.fromEntries(totals),
    close: () => client?.close(() => undefined),
  };
}
