/** Executes the commands of call state machines: places attempts, talks to endpoints, delivers responses. */
import { createPoolRetryBudgets } from '../attempts/pool-retry-budgets.js';
import type { HeldAnswer } from '../memory/answer-memory.js';
import type { Placement } from '../placement/choose-endpoint.js';
import { ENDPOINT_VERDICT } from '../placement/endpoint-loads.js';
import { compareWaiting } from '../placement/admission-decision.js';
import type { WaitingCall } from '../placement/admission-decision.js';
import { isLargePool } from '../placement/large-pool.js';
import { createActiveTimer } from '../runtime/active-timer.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { FEATURE } from '../types/features.js';
import type { RequestFailure } from '../types/outcomes.js';
import { assertNever } from '../utils/assert-never.js';
import {
  computeStreamIdleTimeoutMs,
  computeFirstResponseTimeoutMs,
  computeEndpointVerdict,
  isNotRun,
  isStream,
} from './attempt-policy.js';
import { createAttemptReader } from './attempt-reader.js';
import type { AttemptListener } from './attempt-reader.js';
import { createCallStateMachine } from './call-state-machine.js';
import { computeConnectionsMax } from './connection-limit.js';
import { createRun } from './call-run.js';
import { HOLD_REASON, createExchangeHolds } from './exchange-holds.js';
import type { ExchangeHolds } from './exchange-holds.js';
import type { CallRunnerOptions } from './call-runner-options.js';
import type { Run } from './call-run.js';
import type {
  CallCommand,
  CallMessage,
  AnswerDelivery,
  CancelReason,
  CallSink,
  RoutedCall,
} from './call-messages.js';
import type { AttemptRecord } from './call-records.js';
import { REJECTION } from './call-messages.js';
import { HANDLING_FAILED } from './call-refusals.js';
import { createSendDecider } from './send-decision.js';
import type { AttemptCommand } from './send-decision.js';

/** Interval at which deadlines and stalls are checked. */
const TICK_MS = 100;
/** Interval at which placement of waiting calls is retried. */
const PLACEMENT_INTERVAL_MS = 25;
/** Owner of the answers of public routes. */
const NO_ORGANISATION = '';

export interface RunningCall {
  /** The caller reads more slowly than the endpoint answers: nothing more is read for it. */
  pause(): void;
  /** The caller has read enough to get more. */
  resume(): void;
  /** Called when the caller disconnects. */
  close(): void;
}

export interface CallRunner {
  run(call: RoutedCall, sink: CallSink): RunningCall;
  /** Number of calls that have not ended. */
  count(): number;
  /** Ends all calls with an answer; those that have not run get the failure. */
  closeAll(failure: RequestFailure): ClosedCalls;
}

/** Calls that were ended before their answer. */
export interface ClosedCalls {
  /** They waited at this instance. */
  readonly waiting: number;
  /** They were at an endpoint. */
  readonly sent: number;
}

export function createCallRunner(options: CallRunnerOptions): CallRunner {
  const { exchanges, protocol, loads, placer, timers, observer } = options;
  const runs = new Set<Run>();
  /** Attempts queued at this instance until an endpoint has capacity. */
  const waitingAttempts = new Map<Run, AttemptCommand>();
  const getNow = (): number => timers.clock.monotonicMs();
  const decider = createSendDecider({
    placer,
    availability: options.availability,
    limits: options.limits,
    shares: options.shares,
    quarantine: options.quarantine,
    streams: options.streams,
    listRegistered: options.listRegistered,
    triesOtherEngines: (pool) =>
      options.features.has(FEATURE.Timing) && isLargePool(options.listOpen(pool).length),
    checkSendable: options.checkSendable,
    getNow,
  });
  const budgets = createPoolRetryBudgets(options.retryBounds, getNow());

  function buildWaitingCall({ call }: Run): WaitingCall {
    return {
      urgency: call.urgency,
      receivedMs: call.receivedMs,
      targetMs: call.route.targetMs,
      answerMs: placer.predictAnswerMs(call),
    };
  }

  function recordStarted(run: Run, startedMs: number): void {
    if (run.isStarted) return;
    run.isStarted = true;
    options.onStarted(run.call, startedMs);
  }

  /** The first event that is delivered binds the stream. */
  function recordVersion(run: Run, endpoint: RegisteredEndpoint): void {
    if (run.version !== undefined || !isStream(run.call.route.kind)) return;
    run.version = options.streams.computeVersion(endpoint);
    options.streams.recordStarted(run.call, endpoint);
  }

  /** Looked at again, since the exchange may have waited for a connection or a peer. */
  function isSendAllowed(
    { call }: Run,
    endpoint: RegisteredEndpoint,
    lastEventId: string | undefined,
  ): boolean {
    const isGoingOn = isStream(call.route.kind) && lastEventId !== undefined;
    if (isGoingOn && !options.streams.isCurrent(endpoint)) return false;
    return (
      options.availability.isAvailable(endpoint) &&
      options.checkSendable(call, isGoingOn) === undefined
    );
  }

  /** A stream counts as started at its first event, any other call when it was sent. */
  function recordNonStreamStarted(run: Run): void {
    if (!isStream(run.call.route.kind)) recordStarted(run, run.sentMs);
  }

  function startExchange(
    run: Run,
    attempt: number,
    placement: Placement,
    lastEventId: string | undefined,
  ): void {
    const { call } = run;
    const { endpoint } = placement;
    const startedMs = getNow();
    const record: AttemptRecord = {
      call,
      attempt,
      endpoint,
      lastEventId,
      load: loads.get(endpoint.startId),
      pauseMs: call.prompt === undefined ? undefined : placer.predictPauseMs(endpoint, startedMs),
      candidates: options.listOpen(call.pool).length,
      waitedMs: startedMs - call.receivedMs,
      remainingMs: call.deadlineMs - startedMs,
    };
    const ticket = placer.start(call, placement, startedMs);
    run.ticket = ticket;
    run.sentMs = startedMs;
    const slot = options.shares.start(endpoint);
    run.slot = slot;
    const watch = options.quarantine.startWatch(call, endpoint);
    run.watch = watch;
    const holds = createExchangeHolds((isHeld) => {
      ticket.recordHeld(isHeld, getNow());
      advanceRun(run, { kind: isHeld ? 'held' : 'resumed', attempt });
    });
    run.holds = holds;
    const expected = { callId: call.callId, isStream: isStream(call.route.kind), lastEventId };
    const answer = openAnswer(run, holds);
    const attemptListener: AttemptListener = {
      onRateLimit: (reading) => options.limits.recordAnswer(endpoint, reading, startedMs),
      onBrittle: (reading) => options.shares.recordAnswer(endpoint, reading),
      onNotice: (notice) => options.availability.recordAnswer(endpoint, notice),
      onStreamStarted(head) {
        watch.recordStarted();
        advanceRun(run, { kind: 'stream_started', attempt, head });
        if (run.isCallerBehind) holds.hold(HOLD_REASON.CallerBehind);
      },
      onEvent(joined) {
        const { id, hasData, bytes, events } = joined;
        ticket.recordEvent(getNow(), events);
        watch.recordEvent();
        run.firstMs ??= getNow() - call.receivedMs;
        recordStarted(run, getNow());
        recordVersion(run, endpoint);
        advanceRun(run, { kind: 'event', attempt, id, hasData, bytes });
      },
      onEnded(end) {
        ticket.recordEnd(computeEndpointVerdict(end), getNow());
        observer.onAttemptEnded(record, end, getNow() - startedMs);
        slot.release(end.kind === 'broken');
        if (end.kind === 'rejected' && end.reason === REJECTION.Full)
          options.shares.recordRejected(endpoint);
        if (!isNotRun(end)) recordNonStreamStarted(run);
        run.closeExchange = undefined;
        watch.recordEnd(end);
        if (end.kind !== 'answered') closeAnswer(run, answer);
        advanceRun(run, { kind: 'ended', attempt, end });
      },
    };
    const reader = createAttemptReader(expected, attemptListener, answer);
    observer.onAttempt(record);
    advanceRun(run, { kind: 'dispatched', attempt });
    const closeExchange = exchanges.open(
      {
        call,
        endpoint,
        connectionsMax: computeConnectionsMax(
          options.findPool(call.pool),
          options.countInstances(),
        ),
        buildRequest: (remainingMs) =>
          protocol.encode(call, { endpointId: endpoint.id, remainingMs, lastEventId }),
      },
      {
        isSendAllowed: () => isSendAllowed(run, endpoint, lastEventId),
        onWithheld: () => reader.readWithheld(),
        onHead: (status, headers) => reader.readHead(status, protocol.decode(status, headers)),
        onData: (bytes) => reader.readData(bytes),
        onEnd: () => reader.readEnd(),
        onError: (isSent, reason, _, isRefused) => reader.readError(isSent, reason, isRefused),
        onPathLost: () => runSafely(run, () => advanceRun(run, { kind: 'path_lost', attempt })),
      },
      holds.flow,
    );
    run.closeExchange = () => {
      closeExchange();
      closeAnswer(run, answer);
    };
  }

  /** Sends or rejects the requested attempt; false if it has to wait. */
  function sendAttempt(run: Run, command: AttemptCommand): boolean {
    const { triedEndpointIds: tried, version } = run;
    const decision = decider.choose(run.call, command, { tried, version });
    switch (decision.kind) {
      case 'send':
        run.triedEndpointIds.push(decision.placement.endpoint.id);
        startExchange(run, command.attempt, decision.placement, command.lastEventId);
        return true;
      case 'wait':
        return false;
      case 'reject':
        advanceRun(run, { kind: 'unplaced', failure: decision.failure });
        return true;
      default:
        return assertNever(decision);
    }
  }

  function startAttempt(run: Run, command: AttemptCommand): void {
    if (sendAttempt(run, command)) return;
    waitingAttempts.set(run, command);
    placementTimer.start();
  }

  function advanceWaitingCalls(): void {
    const nowMs = getNow();
    const ordered = [...waitingAttempts]
      .map(([run, command]) => ({ run, command, order: buildWaitingCall(run) }))
      .sort((a, b) => compareWaiting(a.order, b.order, nowMs));
    for (const { run, command } of ordered) {
      runSafely(run, () => {
        if (sendAttempt(run, command)) waitingAttempts.delete(run);
      });
    }
  }

  function openAnswer(run: Run, holds: ExchangeHolds): HeldAnswer {
    const answer = options.answers.open(run.call.organisation ?? NO_ORGANISATION, {
      hold: () => holds.hold(HOLD_REASON.NoMemory),
      resume: () => holds.release(HOLD_REASON.NoMemory),
    });
    run.answers.add(answer);
    return answer;
  }

  function closeAnswer(run: Run, answer: HeldAnswer): void {
    run.answers.delete(answer);
    answer.release();
  }

  function closeAnswers(run: Run): void {
    for (const answer of [...run.answers]) closeAnswer(run, answer);
  }

  /** Passes the memory of the run on to the sink. */
  function takeDelivery(run: Run): AnswerDelivery {
    const answers = [...run.answers];
    run.answers.clear();
    return {
      startDelivery(close) {
        for (const answer of answers) answer.startDelivery(close);
      },
      release() {
        for (const answer of answers) answer.release();
      },
    };
  }

  function cancelAttempt(run: Run, reason: CancelReason): void {
    waitingAttempts.delete(run);
    if (run.closeExchange !== undefined) recordNonStreamStarted(run);
    run.closeExchange?.();
    run.slot?.release(true);
    run.watch?.recordCancelled();
    const isStalled = reason === 'stalled';
    run.ticket?.recordEnd(isStalled ? ENDPOINT_VERDICT.Failed : ENDPOINT_VERDICT.None, getNow());
  }

  function runCommand(run: Run, command: CallCommand): void {
    switch (command.kind) {
      case 'attempt':
        startAttempt(run, command);
        break;
      case 'cancel':
        cancelAttempt(run, command.reason);
        break;
      case 'deliver_head':
        run.isHeadDelivered = true;
        run.sink.onHead(command.head);
        break;
      case 'deliver_event':
        run.sink.onEvent(command.bytes);
        break;
      case 'deliver_end':
        run.sink.onEnd();
        break;
      case 'deliver_answer':
        run.sink.onResponse(command.head, command.body, takeDelivery(run));
        break;
      case 'break_answer':
        run.sink.onBroken();
        break;
      case 'fail':
        run.sink.onFailure(command.failure);
        break;
      default:
        assertNever(command);
    }
  }

  function advanceRun(run: Run, message: CallMessage): void {
    const commands = run.stateMachine.handle(message, getNow());
    const isOver = run.stateMachine.isEnded() && runs.delete(run);
    // Guards against sending a waiting call after its caller left, which produces no cancel command.
    if (isOver) waitingAttempts.delete(run);
    for (const command of commands) runCommand(run, command);
    if (!isOver) return;
    // Also of an order that goes on without its caller: its answer is read and not kept.
    closeAnswers(run);
    const tookMs = getNow() - run.call.receivedMs;
    observer.onEnded({
      call: run.call,
      final: commands.at(-1),
      attempts: run.stateMachine.countAttempts(),
      firstMs: run.firstMs ?? tookMs,
      stream: run.ticket?.getStream(),
      tookMs,
    });
  }

  /** Guards against an error in the handling of one call that keeps all others from being handled. */
  function runSafely(run: Run, step: () => void): void {
    try {
      step();
    } catch (error) {
      options.onError(error);
      runs.delete(run);
      waitingAttempts.delete(run);
      run.closeExchange?.();
      closeAnswers(run);
      run.slot?.release(true);
      run.watch?.recordCancelled();
      run.ticket?.recordEnd(ENDPOINT_VERDICT.None, getNow());
      if (run.isHeadDelivered) run.sink.onBroken();
      else run.sink.onFailure(HANDLING_FAILED);
    }
  }

  const placementTimer = createActiveTimer(timers, PLACEMENT_INTERVAL_MS, () => {
    advanceWaitingCalls();
    return waitingAttempts.size > 0;
  });
  const tickTimer = createActiveTimer(timers, TICK_MS, () => {
    options.answers.advance();
    for (const run of [...runs]) runSafely(run, () => advanceRun(run, { kind: 'tick' }));
    return runs.size > 0;
  });

  return {
    run(call, sink) {
      const budget = budgets.get(call.pool);
      budget.recordCall(getNow());
      const run = createRun(
        call,
        sink,
        createCallStateMachine({
          kind: call.route.kind,
          attemptsMax: call.route.attemptsMax,
          deadlineMs: call.deadlineMs,
          lastEventId: call.lastEventId,
          firstResponseTimeoutMs: computeFirstResponseTimeoutMs(call),
          streamIdleTimeoutMs: computeStreamIdleTimeoutMs(call),
          getReturnMs: () => options.availability.computeReturnMs(call.pool),
          takeRetry: () =>
            !options.quarantine.isCondemned(call) &&
            budget.take(options.countInstances(), getNow()),
        }),
      );
      runs.add(run);
      tickTimer.start();
      advanceRun(run, { kind: 'start' });
      return {
        pause() {
          run.isCallerBehind = true;
          run.holds?.hold(HOLD_REASON.CallerBehind);
        },
        resume() {
          run.isCallerBehind = false;
          run.holds?.release(HOLD_REASON.CallerBehind);
        },
        close: () => advanceRun(run, { kind: 'caller_left' }),
      };
    },
    count: () => runs.size,
    closeAll(failure) {
      const waiting = waitingAttempts.size;
      const sent = runs.size - waiting;
      for (const run of [...runs])
        runSafely(run, () => advanceRun(run, { kind: 'instance_stops', failure }));
      return { waiting, sent };
    },
  };
}
