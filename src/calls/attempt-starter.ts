/** Starts the attempts of runs: opens an exchange with an endpoint and tells what comes of it. */
import type { Placement } from '../placement/choose-endpoint.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { computeEndpointVerdict, isNotRun, isStream } from './attempt-policy.js';
import { createAttemptReader } from './attempt-reader.js';
import type { AttemptListener } from './attempt-reader.js';
import { REJECTION } from './call-messages.js';
import type { AttemptEnd, CallMessage } from './call-messages.js';
import type { AttemptRecord } from './call-records.js';
import type { Run, RunAttempt } from './call-run.js';
import type { CallRunnerOptions } from './call-runner-options.js';
import { computeConnectionsMax } from './connection-limit.js';
import { HOLD_REASON, createExchangeHolds } from './exchange-holds.js';
import type { RunAnswers } from './run-answers.js';
import type { AttemptCommand } from './send-decision.js';

/** What becomes of the attempts. */
export interface AttemptEvents {
  onMessage(run: Run, message: CallMessage): void;
  onEnded(run: Run, started: RunAttempt, end: AttemptEnd): void;
  /** The call has started at an endpoint, at this time. */
  onStarted(run: Run, startedMs: number): void;
  /** Asked right before the request is written. */
  isWanted(run: Run, started: RunAttempt): boolean;
}

export interface AttemptStarter {
  /** `take` is told the attempt before its exchange is opened. */
  start(
    run: Run,
    command: AttemptCommand,
    placement: Placement,
    take: (started: RunAttempt) => void,
  ): void;
}

export function createAttemptStarter(
  options: CallRunnerOptions,
  answers: RunAnswers,
  events: AttemptEvents,
): AttemptStarter {
  const { exchanges, protocol, loads, placer, observer } = options;
  const getNow = (): number => options.timers.clock.monotonicMs();

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

  function buildRecord(
    { call, wait }: Run,
    { attempt, lastEventId }: AttemptCommand,
    endpoint: RegisteredEndpoint,
  ): AttemptRecord {
    const nowMs = getNow();
    return {
      call,
      attempt,
      endpoint,
      lastEventId,
      load: loads.get(endpoint.startId),
      room: call.prompt === undefined ? undefined : placer.readRoom(call.pool),
      wait,
      heldMs: wait === undefined ? 0 : nowMs - wait.sinceMs,
      pauseMs: call.prompt === undefined ? undefined : placer.predictPauseMs(endpoint, nowMs),
      candidates: options.listOpen(call.pool).length,
      waitedMs: nowMs - call.receivedMs,
      remainingMs: call.deadlineMs - nowMs,
    };
  }

  /** Asked for the first attempt only, so that a call that finds no way by itself goes through peers. */
  function hasOtherPlace(run: Run, { attempt, lastEventId }: AttemptCommand, id: string): boolean {
    const { call, version } = run;
    if (attempt > 1 || lastEventId !== undefined || version !== undefined) return false;
    const choice = options.limits.choose(call, attempt + 1, [id]);
    if (choice.kind !== 'send') return false;
    const others = choice.endpoints.filter((endpoint) => endpoint.id !== id);
    const shared = options.shares.choose(call, others);
    if (shared.kind !== 'send') return false;
    return shared.endpoints.some(
      ({ startId, slots }) => loads.isReached(startId) && loads.get(startId).running < slots,
    );
  }

  function start(
    run: Run,
    command: AttemptCommand,
    placement: Placement,
    take: (started: RunAttempt) => void,
  ): void {
    const { call } = run;
    const { attempt, lastEventId } = command;
    const { endpoint } = placement;
    const startedMs = getNow();
    const record = buildRecord(run, command, endpoint);
    const ticket = placer.start(call, placement, startedMs);
    const slot = options.shares.start(endpoint);
    const watch = options.quarantine.startWatch(call, endpoint);
    const holds = createExchangeHolds((isHeld) => {
      ticket.recordHeld(isHeld, getNow());
      events.onMessage(run, { kind: isHeld ? 'held' : 'resumed', attempt });
    });
    const started: RunAttempt = {
      attempt,
      lastEventId,
      endpointId: endpoint.id,
      sentMs: startedMs,
      ticket,
      slot,
      watch,
      holds,
      closeExchange: () => undefined,
    };
    const expected = { callId: call.callId, isStream: isStream(call.route.kind), lastEventId };
    const answer = answers.openAnswer(run, holds);
    const attemptListener: AttemptListener = {
      onRateLimit: (reading) => options.limits.recordAnswer(endpoint, reading, startedMs),
      onBrittle: (reading) => options.shares.recordAnswer(endpoint, reading),
      onNotice: (notice) => options.availability.recordAnswer(endpoint, notice),
      onStreamStarted(head) {
        watch.recordStarted();
        events.onMessage(run, { kind: 'stream_started', attempt, head });
        if (run.isCallerBehind) holds.hold(HOLD_REASON.CallerBehind);
      },
      onEvent(joined) {
        const { id, hasData, bytes } = joined;
        ticket.recordEvent(getNow(), joined.events);
        watch.recordEvent();
        run.firstMs ??= getNow() - call.receivedMs;
        events.onStarted(run, getNow());
        recordVersion(run, endpoint);
        events.onMessage(run, { kind: 'event', attempt, id, hasData, bytes });
      },
      onEnded(end) {
        ticket.recordEnd(computeEndpointVerdict(end), getNow());
        observer.onAttemptEnded(record, end, getNow() - startedMs);
        slot.release(end.kind === 'broken');
        if (end.kind === 'rejected' && end.reason === REJECTION.Full)
          options.shares.recordRejected(endpoint);
        if (!isNotRun(end) && !isStream(call.route.kind)) events.onStarted(run, startedMs);
        started.closeExchange = undefined;
        watch.recordEnd(end);
        if (end.kind !== 'answered') answers.closeAnswer(run, answer);
        events.onEnded(run, started, end);
      },
    };
    const reader = createAttemptReader(expected, attemptListener, answer);
    observer.onAttempt(record);
    take(started);
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
        hasOtherPlace: () => hasOtherPlace(run, command, endpoint.id),
      },
      {
        isSendAllowed: () =>
          isSendAllowed(run, endpoint, lastEventId) && events.isWanted(run, started),
        onWithheld: () => reader.readWithheld(),
        onHead: (status, headers) => reader.readHead(status, protocol.decode(status, headers)),
        onData: (bytes) => reader.readData(bytes),
        onEnd: () => reader.readEnd(),
        onError: (isSent, reason, _, isRefused) => reader.readError(isSent, reason, isRefused),
        onPathLost: () => events.onMessage(run, { kind: 'path_lost', attempt }),
      },
      holds.flow,
    );
    const isOpen = started.closeExchange !== undefined;
    if (isOpen)
      started.closeExchange = () => {
        closeExchange();
        answers.closeAnswer(run, answer);
      };
  }

  return { start };
}
