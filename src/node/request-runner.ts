/** Runs requests by executing the commands of their state machines. */
import type Emittery from 'emittery';
import { createLatencyEstimator } from '../attempts/latency-estimator.js';
import type { LatencyEstimator } from '../attempts/latency-estimator.js';
import { createRetryBudget } from '../attempts/retry-budget.js';
import type { RetryBudget } from '../attempts/retry-budget.js';
import { CLAIM_STATE } from '../claims/claim-document.js';
import type { StoredAnswer } from '../claims/claim-document.js';
import { SlotEnding } from '../gen/peer_pb.js';
import { createRequestStateMachine } from '../requests/request-state-machine.js';
import { REPEATABILITY } from '../requests/request-messages.js';
import type { RequestStateMachine } from '../requests/request-state-machine.js';
import type {
  AttemptEnding,
  RequestCommand,
  RequestMessage,
} from '../requests/request-messages.js';
import type { AnswerEnd, AnswerSink, RoutedRequest } from '../requests/routed-request.js';
import { createLengthEstimator } from '../routing/length-estimator.js';
import type { Invariants } from '../runtime/invariants.js';
import { METRIC } from '../runtime/metrics.js';
import type { Metrics } from '../runtime/metrics.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { EndpointDeclaration } from '../types/declarations.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';
import type { DecisionEvent, RouterEvents } from '../types/router-events.js';
import { assertNever } from '../utils/assert-never.js';
import { buildCompletionBody } from './build-completion.js';
import type { ClaimRunner, HeldClaim } from './claim-runner.js';
import type { EndpointNotices } from './endpoint-notices.js';
import type { AttemptListener, EndpointClient, ServiceResult } from './endpoint-client.js';
import { FAILURE_OF_REFUSAL, MESSAGE_OF_REFUSAL } from './refusal-failures.js';
import type { SlotBroker } from './slot-broker-types.js';

const STATE_MACHINE_TICK_MS = 20;
const SERVICE_EXPECTED_TOKENS = 1;
/** Interval at which the broker is told the progress of running completions. */
const PROGRESS_PERIOD_MS = 250;

export interface RequestRunnerOptions {
  readonly broker: SlotBroker;
  readonly endpoints: EndpointClient;
  readonly claims: ClaimRunner;
  readonly timers: TimerService;
  readonly invariants: Invariants;
  readonly metrics: Metrics;
  readonly events: Emittery<RouterEvents>;
  /** Whether stalled attempts move to another endpoint; off in benchmark baselines. */
  readonly hasStallDetection: boolean;
  /** Whether the request's tier is sent to endpoints as its priority. */
  readonly hasPriority: boolean;
  readonly notices: Pick<EndpointNotices, 'recordAnswer' | 'isLeaving' | 'computeRestLeft'>;
}

export interface RunningRequest {
  /** Cancels the request after its caller has disconnected. */
  close(): void;
}

export interface RequestRunner {
  run(request: RoutedRequest, sink: AnswerSink): RunningRequest;
  /** Number of requests without a final answer. */
  count(): number;
  /** Ends all requests with an answer, since this instance stops. */
  closeAll(): void;
}

interface Run {
  readonly request: RoutedRequest;
  readonly stateMachine: RequestStateMachine;
  readonly sink: AnswerSink;
  readonly startedMs: number;
  cancelAttempt: (() => void) | undefined;
  claim: HeldClaim | undefined;
  /** The answer of an earlier run under the same idempotency key. */
  storedAnswer: StoredAnswer | undefined;
  deltas: string[];
  finishReason: string;
  service: Extract<AnswerEnd, { kind: 'service' }> | undefined;
  lastFrameMs: number | undefined;
}

/** The claim failed on an unreadable platform response; nothing was sent to an endpoint. */
const CLAIM_RESPONSE_INVALID: RequestFailure = {
  type: FAILURE.ClaimUnavailable,
  message: 'the platform answered the claim with something unreadable; send the request again',
  outcome: OUTCOME.NotRun,
  retryAfterMs: 1000,
};

/** The instance stops, and the request was sent to no endpoint. */
const INSTANCE_STOPS: RequestFailure = {
  type: FAILURE.NotReady,
  message: 'this instance stops; send the request again, on a new connection',
  outcome: OUTCOME.NotRun,
  retryAfterMs: 1000,
};

export function createRequestRunner(options: RequestRunnerOptions): RequestRunner {
  const { broker, endpoints, claims, notices, timers, invariants, metrics, events } = options;
  const runs = new Map<string, Run>();
  const lengthEstimator = createLengthEstimator();
  const latencyEstimators = new Map<string, LatencyEstimator>();
  const retryBudgets = new Map<string, RetryBudget>();
  const getNow = (): number => timers.clock.monotonicMs();

  function getLatencyEstimator(pool: string): LatencyEstimator {
    const latency = latencyEstimators.get(pool) ?? createLatencyEstimator();
    latencyEstimators.set(pool, latency);
    return latency;
  }

  function getRetryBudget(pool: string, className: string): RetryBudget {
    const key = `${pool}|${className}`;
    const budget = retryBudgets.get(key) ?? createRetryBudget();
    retryBudgets.set(key, budget);
    return budget;
  }

  function recordDecision(
    run: Run,
    step: DecisionEvent['step'],
    details: { readonly endpoint?: string; readonly detail?: string } = {},
  ): void {
    const { requestId, organisation, classDeclaration } = run.request;
    events.emit('decision', {
      requestId,
      organisation: organisation.name,
      className: classDeclaration.name,
      step,
      ...details,
    });
  }

  function findEndpoint(run: Run, name: string): EndpointDeclaration | undefined {
    return run.request.pool.endpoints.find((endpoint) => endpoint.name === name);
  }

  function buildStoredAnswer(run: Run, frames: number): StoredAnswer {
    if (run.service !== undefined) return run.service;
    const body = JSON.stringify({
      text: run.deltas.join(''),
      finishReason: run.finishReason,
      tokens: frames,
    });
    return { status: 200, contentType: 'application/json', body };
  }

  function sendReplay(run: Run, answer: StoredAnswer): void {
    runs.delete(run.request.requestId);
    if (run.request.work.kind === 'service') {
      run.sink.onComplete({ kind: 'service', ...answer });
      return;
    }
    const stored = JSON.parse(answer.body) as {
      text: string;
      finishReason: string;
      tokens: number;
    };
    run.sink.onDelta(stored.text);
    run.sink.onComplete({
      kind: 'completion',
      finishReason: stored.finishReason,
      tokens: stored.tokens,
    });
  }

  async function runClaim(run: Run): Promise<void> {
    const { request } = run;
    const result = await claims.claim({
      organisation: request.organisation.name,
      idempotencyKey: request.idempotencyKey ?? '',
      attemptId: request.requestId,
      bodyHash: request.bodyHash,
    });
    const hasEnded = run.stateMachine.isEnded();
    switch (result.kind) {
      case 'held':
        run.claim = result.claim;
        // The request ended while claiming; frees the claim, since nothing was sent.
        if (hasEnded) result.claim.settle(CLAIM_STATE.Free);
        else handleMessage(run, { kind: 'claimed' });
        break;
      case 'replay':
        run.storedAnswer = result.answer;
        handleMessage(run, { kind: 'replayed' });
        break;
      case 'refused':
        handleMessage(run, { kind: 'claim_refused', failure: result.failure });
        break;
      default:
        assertNever(result);
    }
  }

  function runAcquire(run: Run, command: Extract<RequestCommand, { kind: 'acquire' }>): void {
    const { request } = run;
    const className = request.classDeclaration.name;
    const expected =
      request.work.kind === 'service'
        ? SERVICE_EXPECTED_TOKENS
        : lengthEstimator.predict(className, request.organisation.name);
    broker.request(
      {
        ticketId: command.ticketId,
        pool: request.pool.name,
        className,
        organisation: request.organisation.name,
        expectedTokens: Math.max(1, expected - run.stateMachine.countDelivered()),
        expiresMs: request.deadlineMs,
        requestedMs: getNow(),
        prefixHash: request.prefixHash,
        preemptible:
          request.work.kind === 'completion' && request.repeatability === REPEATABILITY.Repeatable,
        excludedEndpoints: command.excluded,
        isResumed: command.isResumed,
      },
      {
        onGrant(grant) {
          handleMessage(run, {
            kind: 'granted',
            ticketId: grant.ticketId,
            endpoint: grant.endpoint,
          });
        },
        onRefusal(ticketId, reason, retryAfterMs) {
          handleMessage(run, {
            kind: 'refused',
            ticketId,
            type: FAILURE_OF_REFUSAL[reason],
            message: MESSAGE_OF_REFUSAL[reason],
            retryAfterMs,
          });
        },
        onPreempt(ticketId) {
          recordDecision(run, 'preempted');
          handleMessage(run, { kind: 'preempted', ticketId });
        },
      },
    );
  }

  function handleServiceResult(run: Run, attemptId: string, result: ServiceResult): void {
    if (result.kind === 'ended') {
      handleMessage(run, { kind: 'attempt_ended', attemptId, ending: result.ending });
      return;
    }
    run.service = { kind: 'service', ...result.answer };
    handleMessage(run, { kind: 'frame', attemptId, index: 0, text: '' });
    handleMessage(run, { kind: 'finished', attemptId, index: 1 });
  }

  function createListener(run: Run, attemptId: string, endpoint: string): AttemptListener {
    return {
      onNotice: (notice) => notices.recordAnswer(endpoint, notice),
      onFrame(id, index, text, fingerprint) {
        handleMessage(run, { kind: 'frame', attemptId: id, index, text, fingerprint });
      },
      onFinished(id, index, finishReason) {
        run.finishReason = finishReason;
        handleMessage(run, { kind: 'finished', attemptId: id, index });
      },
      onEnded(ending) {
        handleMessage(run, { kind: 'attempt_ended', attemptId, ending });
      },
    };
  }

  /**
   * Guards against a slot that was granted before its owner knew what the endpoint told this instance.
   */
  function findReasonToWithhold(endpoint: string): AttemptEnding | undefined {
    if (notices.isLeaving(endpoint)) return 'leaving';
    return notices.computeRestLeft(endpoint) > 0 ? 'withheld' : undefined;
  }

  function runDispatch(run: Run, command: Extract<RequestCommand, { kind: 'dispatch' }>): void {
    const { request } = run;
    const { attemptId, offset, delivered } = command;
    const endpoint = findEndpoint(run, command.endpoint);
    metrics.count(METRIC.AttemptsStarted);
    if (offset > 0) metrics.count(METRIC.AttemptsResumed);
    recordDecision(run, offset > 0 ? 'resumed' : 'granted', { endpoint: command.endpoint });
    run.lastFrameMs = undefined;
    // The shard owner may use a newer configuration than the one this request was routed with.
    const withheld = endpoint === undefined ? 'unsent' : findReasonToWithhold(endpoint.name);
    if (endpoint === undefined || withheld !== undefined) {
      timers.subscribeOnce(0, () => {
        handleMessage(run, { kind: 'attempt_ended', attemptId, ending: withheld ?? 'unsent' });
      });
      return;
    }
    if (request.work.kind === 'service') {
      const { method, path, headers, body } = request.work;
      run.cancelAttempt = endpoints.startService(
        endpoint,
        { attemptId, method, path, headers, body },
        {
          onNotice: (notice) => notices.recordAnswer(endpoint.name, notice),
          onEnded: (result) => handleServiceResult(run, attemptId, result),
        },
      );
      return;
    }
    const tier = options.hasPriority ? request.classDeclaration.tier : 0;
    run.cancelAttempt = endpoints.startCompletion(
      endpoint,
      { attemptId, offset, body: buildCompletionBody(request.work, tier, offset, delivered) },
      createListener(run, attemptId, endpoint.name),
    );
  }

  function recordFrameGap(run: Run): void {
    const nowMs = getNow();
    if (run.lastFrameMs !== undefined) {
      getLatencyEstimator(run.request.pool.name).recordGap(nowMs - run.lastFrameMs);
    }
    run.lastFrameMs = nowMs;
  }

  function runRelease(run: Run, command: Extract<RequestCommand, { kind: 'release' }>): void {
    const { kind, ticketId, endpoint, firstFrameMs, ...usage } = command;
    if (firstFrameMs > 0) getLatencyEstimator(run.request.pool.name).recordFirstFrame(firstFrameMs);
    if (usage.ending === SlotEnding.STALLED) recordDecision(run, 'stalled', { endpoint });
    const restMs = notices.computeRestLeft(endpoint);
    broker.release(ticketId, { ...usage, firstTokenMs: firstFrameMs, restMs });
  }

  function runComplete(run: Run, frames: number): void {
    const { request } = run;
    const className = request.classDeclaration.name;
    runs.delete(request.requestId);
    run.claim?.settle(CLAIM_STATE.Done, buildStoredAnswer(run, frames));
    getRetryBudget(request.pool.name, className).recordSuccess();
    if (request.work.kind === 'completion') {
      lengthEstimator.record(className, request.organisation.name, frames);
    }
    metrics.count(METRIC.RequestsCompleted, 1, { class: className });
    metrics.count(METRIC.TokensDelivered, frames);
    recordDecision(run, 'completed', { detail: `${frames} tokens` });
    run.sink.onComplete(
      run.service ?? { kind: 'completion', finishReason: run.finishReason, tokens: frames },
    );
  }

  function runFail(run: Run, command: Extract<RequestCommand, { kind: 'fail' }>): void {
    const { failure } = command;
    const { requestId, classDeclaration } = run.request;
    runs.delete(requestId);
    const isNotRun = failure.outcome === OUTCOME.NotRun;
    run.claim?.settle(isNotRun ? CLAIM_STATE.Free : CLAIM_STATE.Unknown);
    metrics.count(METRIC.RequestsFailed, 1, {
      class: classDeclaration.name,
      type: failure.type,
      outcome: failure.outcome,
    });
    metrics.count(
      METRIC.TokensWasted,
      run.stateMachine.countDelivered() + run.stateMachine.countWasted(),
    );
    recordDecision(run, isNotRun ? 'refused' : 'failed', { detail: failure.type });
    run.sink.onFailure(failure);
  }

  function runCommand(run: Run, command: RequestCommand): void {
    switch (command.kind) {
      case 'claim':
        runClaim(run).catch(() => {
          handleMessage(run, { kind: 'claim_refused', failure: CLAIM_RESPONSE_INVALID });
        });
        break;
      case 'acquire':
        runAcquire(run, command);
        break;
      case 'withdraw':
        broker.cancel(command.ticketId);
        break;
      case 'dispatch':
        runDispatch(run, command);
        break;
      case 'cancel_attempt':
        run.cancelAttempt?.();
        run.cancelAttempt = undefined;
        break;
      case 'release':
        runRelease(run, command);
        break;
      case 'deliver':
        recordFrameGap(run);
        run.deltas.push(command.text);
        run.sink.onDelta(command.text);
        break;
      case 'drop_frame':
        metrics.count(METRIC.FramesDropped, 1, { reason: command.reason });
        break;
      case 'replay':
        if (run.storedAnswer !== undefined) sendReplay(run, run.storedAnswer);
        break;
      case 'complete':
        runComplete(run, command.frames);
        break;
      case 'fail':
        runFail(run, command);
        break;
      default:
        assertNever(command);
    }
  }

  function handleMessage(run: Run, message: RequestMessage): void {
    for (const command of run.stateMachine.handle(message, getNow())) runCommand(run, command);
  }

  let lastTickMs = getNow();
  timers.subscribe(STATE_MACHINE_TICK_MS, () => {
    const nowMs = getNow();
    const lateMs = Math.max(0, nowMs - lastTickMs - STATE_MACHINE_TICK_MS);
    lastTickMs = nowMs;
    for (const run of runs.values()) handleMessage(run, { kind: 'tick', lateMs });
  });
  timers.subscribe(PROGRESS_PERIOD_MS, () => {
    for (const run of runs.values()) {
      const progress = run.stateMachine.getProgress();
      if (progress !== undefined) {
        broker.updateProgress(progress.ticketId, progress.tokens, progress.stepMs);
      }
    }
  });

  return {
    run(request, sink) {
      const latency = getLatencyEstimator(request.pool.name);
      const budget = getRetryBudget(request.pool.name, request.classDeclaration.name);
      const isUntimed = request.work.kind === 'service' || !options.hasStallDetection;
      const stateMachine = createRequestStateMachine({
        requestId: request.requestId,
        repeatability: request.repeatability,
        deadlineMs: request.deadlineMs,
        invariants,
        // A plain service does not stream, so only the deadline limits its response time.
        getFirstFrameTimeoutMs: () => (isUntimed ? Infinity : latency.computeFirstFrameTimeout()),
        getFrameGapTimeoutMs: () => (isUntimed ? Infinity : latency.computeGapTimeout()),
        takeRetry: () => budget.take(),
        takeClaim: () => run.claim?.take() === true,
      });
      const run: Run = {
        request,
        stateMachine,
        sink,
        startedMs: getNow(),
        cancelAttempt: undefined,
        claim: undefined,
        storedAnswer: undefined,
        deltas: [],
        finishReason: 'stop',
        service: undefined,
        lastFrameMs: undefined,
      };
      runs.set(request.requestId, run);
      metrics.count(METRIC.RequestsStarted, 1, { class: request.classDeclaration.name });
      recordDecision(run, 'received');
      handleMessage(run, { kind: 'start' });
      return {
        close: () => handleMessage(run, { kind: 'caller_left' }),
      };
    },
    count: () => runs.size,
    closeAll() {
      for (const run of [...runs.values()])
        handleMessage(run, { kind: 'instance_stops', failure: INSTANCE_STOPS });
    },
  };
}
