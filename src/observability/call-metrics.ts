/** Prometheus metrics of routed calls, by prom-client. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { RoutedCall } from '../calls/call-messages.js';

/** Upper bounds, around the usual latency targets (0.12 to 1.5 s) and deadlines (0.6 to 10 s). */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10];

/** Results of calls, as label values. */
export const CALL_RESULT = {
  Served: 'served',
  Failed: 'failed',
  Refused: 'refused',
  Broken: 'broken',
  CallerLeft: 'caller_left',
} as const;
export type CallResult = (typeof CALL_RESULT)[keyof typeof CALL_RESULT];

/** Values that are read at each scrape. */
export interface MetricSources {
  readonly getConfigurationVersion: () => number;
  readonly getKnowledgeAgeSeconds: () => number;
  readonly countInstances: () => number;
  readonly countCalls: () => number;
  readonly countConnectionsMade: () => number;
  readonly getResidentBytes: () => number;
  /** By how much the event loop was late at most since the last call. */
  readonly takeLoopDelaySeconds: () => number;
  /** Fencing number of the duty lease; 0 if this instance does not hold it. */
  readonly getDutyFence: () => number;
  readonly countUnsentWindows: () => number;
  /** Endpoints that name a rate limit. */
  readonly countLimitedEndpoints: () => number;
  readonly countNotices: () => number;
  /** Paths to endpoints that are not open. */
  readonly countBrittleEndpoints: () => number;
  readonly countLostPaths: () => number;
  readonly countCarriedCalls: () => number;
  /** Memory taken by bodies of requests and responses that are kept whole. */
  readonly getHeldBytes: () => number;
  /** Responses that wait for memory. */
  readonly countHeldBackAnswers: () => number;
  readonly countStreamBindings: () => number;
  /** Expected pause of streams at each engine, in milliseconds; null while unknown. */
  readonly listTimings: () => readonly {
    readonly pool: string;
    readonly endpoint: string;
    readonly pauseMs: number | null;
  }[];
  /** The pool and state of each endpoint's pace. */
  readonly listPaces: () => readonly { readonly pool: string; readonly state: string }[];
}

export interface CallMetrics {
  /** Labels exclude the organisation, to bound their cardinality. */
  recordCall(
    call: Pick<RoutedCall, 'route' | 'urgency'>,
    result: CallResult,
    firstMs: number,
    tookMs: number,
  ): void;
  /** Records the time from a request to the start of an attempt. */
  recordWait(urgency: number, waitedMs: number): void;
  /** Records that a call waited at this instance before it was sent, and what for. */
  recordHeld(urgency: number, reason: string): void;
  /** Records the longest pause of a stream that has ended. */
  recordPause(route: string, pauseMs: number): void;
  recordAttempt(end: string): void;
  /** Records that an endpoint crashed with calls of this instance in flight. */
  recordCrash(evidence: string): void;
  /** Records the new quarantine standing of a content. */
  recordStanding(standing: string): void;
  /** Records a call refused because of crashes of its content or organisation. */
  recordQuarantineRefusal(): void;
  /** Records a request that was sent to an endpoint with a rate limit. */
  recordLimitedSend(): void;
  /** Records a call refused because of the rate limits of endpoints. */
  recordLimitRefusal(): void;
  recordRestRefusal(): void;
  /** What is known of an endpoint that is leaving or wants rest changed. */
  recordNotice(notice: string, change: string): void;
  /** Records a call refused because this instance's share of brittle endpoints was in use. */
  recordShareRefusal(): void;
  /** Records whether the version of a resumed stream was found. */
  recordResumedStream(outcome: string): void;
  /** Records streams that other instances were told of. */
  recordToldStreams(streams: number): void;
  /** Records what became of an own call at a peer. */
  recordForward(result: string): void;
  /** Records what became of a call of a peer here. */
  recordCarried(result: string): void;
  /** Records a request refused before routing. */
  recordRefusal(failure: string): void;
  /** Records an error that a task of this process threw. */
  recordTaskFailure(): void;
  /** Records a connection that was closed because of what its server sent. */
  recordAnswerFault(source: string, fault: string): void;
  /** Records a value of a newer release. */
  recordUnknown(place: string): void;
  /** Records a call to the platform made on behalf of the fleet. */
  recordDuty(duty: string, outcome: string): void;
  format(): Promise<string>;
}

export function createCallMetrics(sources: MetricSources): CallMetrics {
  const registry = new Registry();
  const registers = [registry];
  const calls = new Counter({
    name: 'hyssoptally_calls_total',
    help: 'Calls that ended, by kind of route, urgency and result',
    labelNames: ['kind', 'urgency', 'result'],
    registers,
  });
  const attempts = new Counter({
    name: 'hyssoptally_attempts_total',
    help: 'Attempts at endpoints, by how they ended',
    labelNames: ['end'],
    registers,
  });
  const refusals = new Counter({
    name: 'hyssoptally_refusals_total',
    help: 'Requests refused before a call was made of them, by failure',
    labelNames: ['failure'],
    registers,
  });
  const crashes = new Counter({
    name: 'hyssoptally_endpoint_crashes_total',
    help: 'Endpoints that ended while calls of this instance ran there, by what proved it',
    labelNames: ['evidence'],
    registers,
  });
  const standings = new Counter({
    name: 'hyssoptally_content_judgements_total',
    help: 'Contents under which endpoints crashed that came to a standing, as this instance learned it',
    labelNames: ['standing'],
    registers,
  });
  const quarantineRefusals = new Counter({
    name: 'hyssoptally_quarantine_refusals_total',
    help: 'Calls refused because endpoints crashed under their content',
    registers,
  });
  const limitedSends = new Counter({
    name: 'hyssoptally_limited_sends_total',
    help: 'Requests sent to endpoints that name a rate limit',
    registers,
  });
  const limitRefusals = new Counter({
    name: 'hyssoptally_limit_refusals_total',
    help: 'Calls refused because all endpoints of their pool name rate limits',
    registers,
  });
  const notices = new Counter({
    name: 'hyssoptally_endpoint_notices_total',
    help: 'Changes in what is known of endpoints that are leaving or want rest',
    labelNames: ['notice', 'change'],
    registers,
  });
  const restRefusals = new Counter({
    name: 'hyssoptally_rest_refusals_total',
    help: 'Calls refused because all endpoints of their pool asked for rest',
    registers,
  });
  const shareRefusals = new Counter({
    name: 'hyssoptally_share_refusals_total',
    help: 'Calls refused because the share of brittle endpoints was in use',
    registers,
  });
  const resumedStreams = new Counter({
    name: 'hyssoptally_resumed_streams_total',
    help: 'Streams that callers resume, by whether the version that began them is known',
    labelNames: ['outcome'],
    registers,
  });
  const toldStreams = new Counter({
    name: 'hyssoptally_told_streams_total',
    help: 'Streams whose version other instances were told of, counted once for each copy',
    registers,
  });
  const forwards = new Counter({
    name: 'hyssoptally_forwarded_calls_total',
    help: 'Offers of own calls to peers, by what became of them',
    labelNames: ['result'],
    registers,
  });
  const carriedCalls = new Counter({
    name: 'hyssoptally_carried_calls_total',
    help: 'Calls of peers, by what became of them here',
    labelNames: ['result'],
    registers,
  });
  const taskFailures = new Counter({
    name: 'hyssoptally_task_failures_total',
    help: 'Errors that tasks of this process threw; each is a fault of the router',
    registers,
  });
  const answerFaults = new Counter({
    name: 'hyssoptally_answer_faults_total',
    help: 'Connections closed because of what their server sent, by kind of server and fault',
    labelNames: ['source', 'fault'],
    registers,
  });
  const unknownValues = new Counter({
    name: 'hyssoptally_unknown_values_total',
    help: 'Words of a newer release that this one does not know, by where they were read',
    labelNames: ['place'],
    registers,
  });
  const dutyCalls = new Counter({
    name: 'hyssoptally_duty_calls_total',
    help: 'Calls made for the fleet, by duty and outcome',
    labelNames: ['duty', 'outcome'],
    registers,
  });
  const firstByteLatency = new Histogram({
    name: 'hyssoptally_call_first_seconds',
    help: 'Time from a request to the first bytes of its answer',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS_S,
    registers,
  });
  const callDuration = new Histogram({
    name: 'hyssoptally_call_seconds',
    help: 'Time from a request to the end of its answer',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS_S,
    registers,
  });

  const waits = new Histogram({
    name: 'hyssoptally_call_wait_seconds',
    help: 'Time from a request to its sending to an endpoint, by urgency',
    labelNames: ['urgency'],
    buckets: LATENCY_BUCKETS_S,
    registers,
  });
  const held = new Counter({
    name: 'hyssoptally_held_calls_total',
    help: 'Attempts that were sent after a wait at this instance, by urgency and what they waited for last',
    labelNames: ['urgency', 'reason'],
    registers,
  });
  const pauses = new Histogram({
    name: 'hyssoptally_stream_longest_pause_seconds',
    help: 'Longest pause between two events of a stream, by route',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_S,
    registers,
  });

  function addGauge(name: string, help: string, read: () => number): void {
    registry.registerMetric(
      new Gauge({
        name,
        help,
        registers: [],
        collect() {
          this.set(read());
        },
      }),
    );
  }

  addGauge(
    'hyssoptally_configuration_version',
    'Version in force',
    sources.getConfigurationVersion,
  );
  addGauge(
    'hyssoptally_knowledge_age_seconds',
    'Time since the configuration in force was surely the newest',
    sources.getKnowledgeAgeSeconds,
  );
  addGauge('hyssoptally_instances', 'Instances held for alive', sources.countInstances);
  addGauge('hyssoptally_calls_in_flight', 'Calls without a final answer', sources.countCalls);
  addGauge(
    'hyssoptally_endpoint_connections_made',
    'Connections made to endpoints since the start',
    sources.countConnectionsMade,
  );

  addGauge(
    'hyssoptally_resident_memory_bytes',
    'Memory of this process that the machine holds for it',
    sources.getResidentBytes,
  );
  addGauge(
    'hyssoptally_event_loop_delay_seconds',
    'By how much the event loop was late at most since the last scrape',
    sources.takeLoopDelaySeconds,
  );
  addGauge(
    'hyssoptally_duty_fence',
    'Fencing number under which this instance holds the duties of the fleet, 0 where it does not',
    sources.getDutyFence,
  );
  addGauge(
    'hyssoptally_usage_windows_unsent',
    'Windows of usage that are fixed and not taken by the platform yet',
    sources.countUnsentWindows,
  );
  addGauge(
    'hyssoptally_limited_endpoints',
    'Endpoints that name a rate limit for all instances together',
    sources.countLimitedEndpoints,
  );
  addGauge(
    'hyssoptally_noticed_endpoints',
    'Notices in force of endpoints that are leaving or want rest',
    sources.countNotices,
  );
  addGauge(
    'hyssoptally_brittle_endpoints',
    'Endpoints that crash if they have to reject too many requests',
    sources.countBrittleEndpoints,
  );
  addGauge(
    'hyssoptally_paths_not_open',
    'Endpoints that this instance does not reach or doubts to reach',
    sources.countLostPaths,
  );
  addGauge(
    'hyssoptally_carried_calls_in_flight',
    'Calls of peers that this instance carries now',
    sources.countCarriedCalls,
  );
  addGauge(
    'hyssoptally_held_bytes',
    'Bytes of memory taken by bodies of requests and responses that are kept whole',
    sources.getHeldBytes,
  );
  addGauge(
    'hyssoptally_held_back_answers',
    'Responses of endpoints that are held back until there is memory for them',
    sources.countHeldBackAnswers,
  );
  addGauge(
    'hyssoptally_stream_bindings',
    'Streams of which this instance keeps the version that began them',
    sources.countStreamBindings,
  );

  registry.registerMetric(
    new Gauge({
      name: 'hyssoptally_engine_pause_seconds',
      help: 'Expected mean pause of streams at an engine if one more call runs there',
      labelNames: ['pool', 'endpoint'],
      registers: [],
      collect() {
        this.reset();
        for (const { pool, endpoint, pauseMs } of sources.listTimings()) {
          if (pauseMs !== null) this.set({ pool, endpoint }, pauseMs / 1000);
        }
      },
    }),
  );
  registry.registerMetric(
    new Gauge({
      name: 'hyssoptally_endpoint_paces',
      help: 'Registered endpoints, by pool and state of their pace',
      labelNames: ['pool', 'state'],
      registers: [],
      collect() {
        this.reset();
        for (const { pool, state } of sources.listPaces()) this.inc({ pool, state });
      },
    }),
  );

  return {
    recordCall({ route: { kind }, urgency }, result, firstMs, tookMs) {
      calls.inc({ kind, urgency, result });
      if (result !== CALL_RESULT.Served) return;
      firstByteLatency.observe({ kind }, firstMs / 1000);
      callDuration.observe({ kind }, tookMs / 1000);
    },
    recordWait: (urgency, waitedMs) => waits.observe({ urgency }, waitedMs / 1000),
    recordHeld: (urgency, reason) => held.inc({ urgency, reason }),
    recordPause: (route, pauseMs) => pauses.observe({ route }, pauseMs / 1000),
    recordAttempt: (end) => attempts.inc({ end }),
    recordCrash: (evidence) => crashes.inc({ evidence }),
    recordStanding: (standing) => standings.inc({ standing }),
    recordQuarantineRefusal: () => quarantineRefusals.inc(),
    recordLimitedSend: () => limitedSends.inc(),
    recordLimitRefusal: () => limitRefusals.inc(),
    recordRestRefusal: () => restRefusals.inc(),
    recordNotice: (notice, change) => notices.inc({ notice, change }),
    recordShareRefusal: () => shareRefusals.inc(),
    recordResumedStream: (outcome) => resumedStreams.inc({ outcome }),
    recordToldStreams: (streams) => toldStreams.inc(streams),
    recordForward: (result) => forwards.inc({ result }),
    recordCarried: (result) => carriedCalls.inc({ result }),
    recordRefusal: (failure) => refusals.inc({ failure }),
    recordTaskFailure: () => taskFailures.inc(),
    recordAnswerFault: (source, fault) => answerFaults.inc({ source, fault }),
    recordUnknown: (place) => unknownValues.inc({ place }),
    recordDuty: (duty, outcome) => dutyCalls.inc({ duty, outcome }),
    format: () => registry.metrics(),
  };
}
