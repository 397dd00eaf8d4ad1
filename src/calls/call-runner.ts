/** Executes the commands of call state machines: places attempts, talks to endpoints, delivers responses. */
import { createPoolRetryBudgets } from '../attempts/pool-retry-budgets.js';
import { ENDPOINT_VERDICT } from '../placement/endpoint-loads.js';
import type { EndpointVerdict } from '../placement/endpoint-loads.js';
import { compareWaiting } from '../placement/admission-decision.js';
import type { WaitingCall } from '../placement/admission-decision.js';
import { isLargePool } from '../placement/large-pool.js';
import { createActiveTimer } from '../runtime/active-timer.js';
import { FEATURE } from '../types/features.js';
import type { RequestFailure } from '../types/outcomes.js';
import { assertNever } from '../utils/assert-never.js';
import {
  computeStreamIdleTimeoutMs,
  computeFirstResponseTimeoutMs,
  isStream,
} from './attempt-policy.js';
import { createAttemptStarter } from './attempt-starter.js';
import { createCallStateMachine } from './call-state-machine.js';
import { createRun } from './call-run.js';
import { HOLD_REASON } from './exchange-holds.js';
import type { CallRunnerOptions } from './call-runner-options.js';
import type { Run, RunAttempt } from './call-run.js';
import type {
  CallCommand,
  CallMessage,
  CancelReason,
  CallSink,
  RoutedCall,
} from './call-messages.js';
import { createRunAnswers } from './run-answers.js';
import { HANDLING_FAILED } from './call-refusals.js';
import { createSendDecider } from './send-decision.js';
import type { AttemptCommand } from './send-decision.js';
import { computeNextTryMs } from './wait-reason.js';
import type { WaitReason } from './wait-reason.js';

/** Interval at which deadlines and stalls are checked. */
const TICK_MS = 100;
/** Interval at which placement of waiting calls is retried. */
const PLACEMENT_INTERVAL_MS = 25;

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
  const { placer, timers, observer } = options;
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
  const answers = createRunAnswers(options.answers);
  const starter = createAttemptStarter(options, answers, {
    onMessage: advanceRun,
    onEnded(run, started, end) {
      if (run.successor === started) removeSuccessor(run, end.kind === 'withheld');
      else advanceRun(run, { kind: 'ended', attempt: started.attempt, end });
    },
    onStarted: recordStarted,
    isWanted: isCurrentOrTaken,
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

  /** A stream counts as started at its first event, any other call when it was sent. */
  function recordNonStreamStarted(run: Run, sentMs: number): void {
    if (!isStream(run.call.route.kind)) recordStarted(run, sentMs);
  }

  /** Asked right before the request is written: a successor takes the call over now, or not at all. */
  function isCurrentOrTaken(run: Run, started: RunAttempt): boolean {
    if (run.successor === started) {
      const { attempt, lastEventId } = started;
      advanceRun(run, { kind: 'place_found', next: attempt, lastEventId });
    }
    return run.current === started;
  }

  /** Forgets a successor that has ended. `isUntried`: its endpoint has not failed. */
  function removeSuccessor(run: Run, isUntried: boolean): void {
    const { successor } = run;
    run.successor = undefined;
    if (successor === undefined || !isUntried) return;
    const index = run.triedEndpointIds.lastIndexOf(successor.endpointId);
    if (index !== -1) run.triedEndpointIds.splice(index, 1);
  }

  /** Closes a successor, whose request was not sent. */
  function closeSuccessor(run: Run): void {
    const { successor } = run;
    if (successor === undefined) return;
    successor.closeExchange?.();
    successor.slot.release(false);
    successor.watch.recordCancelled();
    successor.ticket.recordEnd(ENDPOINT_VERDICT.None, getNow());
    removeSuccessor(run, true);
  }

  /** Opens a connection to another endpoint for a silent call, which goes on meanwhile. */
  function startSuccessor(run: Run, command: AttemptCommand): void {
    if (run.successor !== undefined) return;
    const { triedEndpointIds: tried, version } = run;
    const placement = decider.findPlace(run.call, command, { tried, version });
    if (placement === undefined) return;
    run.triedEndpointIds.push(placement.endpoint.id);
    starter.start(run, command, placement, (started) => {
      run.successor = started;
    });
  }

  /** A successor that was sought for the same attempt sends it. */
  function takeSuccessor(run: Run, { attempt, lastEventId }: AttemptCommand): boolean {
    const { successor } = run;
    if (successor?.attempt === attempt && successor.lastEventId === lastEventId) {
      setCurrent(run, successor);
      advanceRun(run, { kind: 'dispatched', attempt });
      return true;
    }
    closeSuccessor(run);
    return false;
  }

  function setCurrent(run: Run, started: RunAttempt): void {
    run.current = started;
    if (run.successor === started) run.successor = undefined;
  }

  function recordWait(run: Run, reason: WaitReason): void {
    const nowMs = getNow();
    const nextTryMs = computeNextTryMs(reason, run.call.route.targetMs, nowMs);
    run.wait = { reason, sinceMs: run.wait?.sinceMs ?? nowMs, nextTryMs };
  }

  /** Sends or rejects the requested attempt; false if it has to wait. */
  function sendAttempt(run: Run, command: AttemptCommand): boolean {
    const { triedEndpointIds: tried, version } = run;
    const decision = decider.choose(run.call, command, { tried, version });
    switch (decision.kind) {
      case 'send':
        run.triedEndpointIds.push(decision.placement.endpoint.id);
        starter.start(run, command, decision.placement, (started) => {
          setCurrent(run, started);
          advanceRun(run, { kind: 'dispatched', attempt: command.attempt });
        });
        return true;
      case 'wait':
        recordWait(run, decision.reason);
        return false;
      case 'reject':
        advanceRun(run, { kind: 'unplaced', failure: decision.failure });
        return true;
      default:
        return assertNever(decision);
    }
  }

  function startAttempt(run: Run, command: AttemptCommand): void {
    if (takeSuccessor(run, command) || sendAttempt(run, command)) return;
    waitingAttempts.set(run, command);
    placementTimer.start();
  }

  function advanceWaitingCalls(): void {
    const nowMs = getNow();
    const ordered = [...waitingAttempts]
      .filter(([{ wait }]) => wait === undefined || nowMs >= wait.nextTryMs)
      .map(([run, command]) => ({ run, command, order: buildWaitingCall(run) }))
      .sort((a, b) => compareWaiting(a.order, b.order, nowMs));
    for (const { run, command } of ordered) {
      runSafely(run, () => {
        if (sendAttempt(run, command)) waitingAttempts.delete(run);
      });
    }
  }

  function cancelAttempt(run: Run, reason: CancelReason): void {
    waitingAttempts.delete(run);
    const { current } = run;
    if (current === undefined) return;
    if (current.closeExchange !== undefined) recordNonStreamStarted(run, current.sentMs);
    closeAttempt(current, reason === 'stalled' ? ENDPOINT_VERDICT.Failed : ENDPOINT_VERDICT.None);
  }

  function closeAttempt(current: RunAttempt, verdict: EndpointVerdict): void {
    current.closeExchange?.();
    current.slot.release(true);
    current.watch.recordCancelled();
    current.ticket.recordEnd(verdict, getNow());
  }

  function runCommand(run: Run, command: CallCommand): void {
    switch (command.kind) {
      case 'attempt':
        startAttempt(run, command);
        break;
      case 'seek':
        startSuccessor(run, command);
        break;
      case 'move':
        if (run.successor !== undefined) setCurrent(run, run.successor);
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
        run.sink.onResponse(command.head, command.body, answers.takeDelivery(run));
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
    closeSuccessor(run);
    // Also of an order that goes on without its caller: its answer is read and not kept.
    answers.closeAnswers(run);
    const tookMs = getNow() - run.call.receivedMs;
    observer.onEnded({
      call: run.call,
      final: commands.at(-1),
      attempts: run.stateMachine.countAttempts(),
      wait: run.wait,
      firstMs: run.firstMs ?? tookMs,
      stream: run.current?.ticket.getStream(),
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
      if (run.current !== undefined) closeAttempt(run.current, ENDPOINT_VERDICT.None);
      closeSuccessor(run);
      answers.closeAnswers(run);
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
          hasRetry: () =>
            !options.quarantine.isCondemned(call) && budget.has(options.countInstances(), getNow()),
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
          run.current?.holds.hold(HOLD_REASON.CallerBehind);
        },
        resume() {
          run.isCallerBehind = false;
          run.current?.holds.release(HOLD_REASON.CallerBehind);
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
