import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { CALL_KIND } from '../types/traffic.js';
import type { CallKind } from '../types/traffic.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';
import { createCallStateMachine } from './call-state-machine.js';
import type { CallStateMachine } from './call-state-machine.js';
import type { ResponseHead, AttemptEnd, CallCommand, CallMessage } from './call-messages.js';

const HEAD: ResponseHead = { status: 200, headers: [] };
const DEADLINE_MS = 5000;
const FIRST_RESPONSE_TIMEOUT_MS = 600;
const STREAM_IDLE_TIMEOUT_MS = 800;

interface Harness {
  readonly stateMachine: CallStateMachine;
  readonly commands: CallCommand[];
  send(message: CallMessage, nowMs?: number): CallCommand[];
}

/** A place is found for a silent attempt. */
function buildPlaceFound(next: number, lastEventId?: string): CallMessage {
  return { kind: 'place_found', next, lastEventId };
}

function createHarness(kind: CallKind, attemptsMax = 2, retries = 10, isHeldBack = false): Harness {
  let retriesLeft = retries;
  const commands: CallCommand[] = [];
  const stateMachine = createCallStateMachine({
    kind,
    attemptsMax,
    deadlineMs: DEADLINE_MS,
    lastEventId: undefined,
    firstResponseTimeoutMs: FIRST_RESPONSE_TIMEOUT_MS,
    streamIdleTimeoutMs: STREAM_IDLE_TIMEOUT_MS,
    getReturnMs: () => 0,
    hasRetry: () => retriesLeft > 0,
    takeRetry() {
      retriesLeft -= 1;
      return retriesLeft >= 0;
    },
  });
  return {
    stateMachine,
    commands,
    send(message, nowMs = 0) {
      const sent = stateMachine.handle(message, nowMs);
      commands.push(...sent);
      const attempt = sent.findLast((command) => command.kind === 'attempt');
      if (attempt !== undefined && !isHeldBack) {
        stateMachine.handle({ kind: 'dispatched', attempt: attempt.attempt }, nowMs);
      }
      return sent;
    },
  };
}

function findFailure(commands: readonly CallCommand[]) {
  return commands.find((command) => command.kind === 'fail')?.failure;
}

const INSTANCE_STOPS: RequestFailure = {
  type: FAILURE.NotReady,
  message: 'stops',
  outcome: OUTCOME.NotRun,
  retryAfterMs: 50,
};
const BROKEN: AttemptEnd = { kind: 'broken', reason: 'reset' };
const REJECTED: AttemptEnd = { kind: 'rejected', reason: 'full' };

describe('call state machine', ({ describe: block }) => {
  block('non-idempotent calls', ({ it }) => {
    // Guards against running a non-idempotent call twice, and against reporting it as not run.
    it('are not retried once they may have run, and are not reported as not run', (t) => {
      const { send } = createHarness(CALL_KIND.NonIdempotent);
      send({ kind: 'start' });
      const ended = send({ kind: 'ended', attempt: 1, end: BROKEN });
      t.false(ended.some((command) => command.kind === 'attempt'));
      t.is(findFailure(ended)?.outcome, OUTCOME.MayHaveRun);
      t.is(findFailure(ended)?.retryAfterMs, undefined);
    });

    it('are retried if the first endpoint reports that it did not run them', (t) => {
      const { send } = createHarness(CALL_KIND.NonIdempotent);
      send({ kind: 'start' });
      const next = send({ kind: 'ended', attempt: 1, end: REJECTED });
      t.like(next[0], { kind: 'attempt', attempt: 2 });
      const last = send({ kind: 'ended', attempt: 2, end: REJECTED });
      t.is(findFailure(last)?.outcome, OUTCOME.NotRun);
      t.truthy(findFailure(last)?.retryAfterMs);
    });

    // Guards against cancelling a non-idempotent call halfway.
    it('run to their end after the caller disconnects', (t) => {
      const { send } = createHarness(CALL_KIND.NonIdempotent);
      send({ kind: 'start' });
      t.deepEqual(send({ kind: 'caller_left' }), []);
    });
  });

  block('idempotent calls', ({ it }) => {
    // Guards against replacing an endpoint's error response by one of the router.
    it('return the first error response if the retry fails', (t) => {
      const { send } = createHarness(CALL_KIND.Idempotent);
      const answer = { head: { status: 500, headers: [] }, body: Buffer.from('sorry') };
      send({ kind: 'start' });
      const next = send({ kind: 'ended', attempt: 1, end: { kind: 'answered', ...answer } });
      t.is(next[0]?.kind, 'attempt');
      const last = send({ kind: 'ended', attempt: 2, end: BROKEN });
      t.deepEqual(last, [{ kind: 'deliver_answer', ...answer }]);
    });

    // Guards against waiting for a lost response until the deadline.
    it('are retried if there is no response', (t) => {
      const { send } = createHarness(CALL_KIND.Idempotent);
      send({ kind: 'start' });
      t.deepEqual(send({ kind: 'tick' }, FIRST_RESPONSE_TIMEOUT_MS - 1), []);
      t.deepEqual(send(buildPlaceFound(2), FIRST_RESPONSE_TIMEOUT_MS - 1), []);
      const sought = send({ kind: 'tick' }, FIRST_RESPONSE_TIMEOUT_MS);
      t.deepEqual(sought, [{ kind: 'seek', attempt: 2, lastEventId: undefined }]);
      t.deepEqual(send(buildPlaceFound(2), FIRST_RESPONSE_TIMEOUT_MS), [
        { kind: 'cancel', attempt: 1, reason: 'stalled' },
        { kind: 'move', attempt: 2 },
      ]);
    });

    // Guards against a call that fails since it was given up before another place had taken it.
    it('are answered by a silent endpoint if there is no other place', (t) => {
      const { send } = createHarness(CALL_KIND.Idempotent);
      send({ kind: 'start' });
      for (let nowMs = 100; nowMs < DEADLINE_MS; nowMs += 100) {
        const sought = send({ kind: 'tick' }, nowMs);
        t.true(sought.every(({ kind }) => kind === 'seek'));
      }
      const answer = { head: HEAD, body: Buffer.from('late') };
      const ended = send({ kind: 'ended', attempt: 1, end: { kind: 'answered', ...answer } });
      t.deepEqual(ended, [{ kind: 'deliver_answer', ...answer }]);
    });

    // Guards against a whole pool that is weighed in each tick for each silent call.
    it('seek another place now and then only', (t) => {
      const { send, commands } = createHarness(CALL_KIND.Idempotent);
      send({ kind: 'start' });
      for (let nowMs = 100; nowMs <= 2000; nowMs += 100) send({ kind: 'tick' }, nowMs);
      t.is(commands.filter(({ kind }) => kind === 'seek').length, 3);
    });

    // Guards against two attempts for one place, and against a retry that is spent on a search.
    it('spend a retry only when they move, and move only once for a place', (t) => {
      const { send } = createHarness(CALL_KIND.Idempotent, 4, 1);
      send({ kind: 'start' });
      send({ kind: 'tick' }, FIRST_RESPONSE_TIMEOUT_MS);
      send({ kind: 'tick' }, 2 * FIRST_RESPONSE_TIMEOUT_MS);
      t.is(send(buildPlaceFound(2), 2 * FIRST_RESPONSE_TIMEOUT_MS).length, 2);
      t.deepEqual(send(buildPlaceFound(2), 2 * FIRST_RESPONSE_TIMEOUT_MS), []);
      t.deepEqual(send({ kind: 'tick' }, 4 * FIRST_RESPONSE_TIMEOUT_MS), []);
    });

    it('move at once where the path to their endpoint is lost', (t) => {
      const { send } = createHarness(CALL_KIND.Idempotent);
      send({ kind: 'start' });
      t.like(send({ kind: 'path_lost', attempt: 1 }, 200)[0], { kind: 'seek', attempt: 2 });
      t.like(send(buildPlaceFound(2), 200)[1], { kind: 'move', attempt: 2 });
    });

    it('that fail while a place is sought go on there', (t) => {
      const { send } = createHarness(CALL_KIND.Idempotent);
      send({ kind: 'start' });
      send({ kind: 'tick' }, FIRST_RESPONSE_TIMEOUT_MS);
      const next = send({ kind: 'ended', attempt: 1, end: BROKEN }, FIRST_RESPONSE_TIMEOUT_MS);
      t.deepEqual(next, [{ kind: 'attempt', attempt: 2, lastEventId: undefined }]);
      t.deepEqual(send(buildPlaceFound(2), 2 * FIRST_RESPONSE_TIMEOUT_MS), []);
    });

    it('are not retried beyond the shared budget', (t) => {
      const { send } = createHarness(CALL_KIND.Idempotent, 2, 0);
      send({ kind: 'start' });
      const ended = send({ kind: 'ended', attempt: 1, end: BROKEN });
      t.is(findFailure(ended)?.outcome, OUTCOME.MayHaveRun);
    });
  });

  block('streams', ({ it }) => {
    // Guards against repeated events and a second head after an engine fails during a stream.
    it('are resumed after the last event delivered', (t) => {
      const { send } = createHarness(CALL_KIND.ResumableStream);
      send({ kind: 'start' });
      send({ kind: 'stream_started', attempt: 1, head: HEAD });
      send({ kind: 'event', attempt: 1, id: '7', hasData: true, bytes: Buffer.from('id: 7\n\n') });
      const next = send({ kind: 'ended', attempt: 1, end: BROKEN });
      t.like(next[0], { kind: 'attempt', attempt: 2, lastEventId: '7' });
      t.deepEqual(send({ kind: 'stream_started', attempt: 2, head: HEAD }), []);
      const late = send({
        kind: 'event',
        attempt: 1,
        id: '8',
        hasData: true,
        bytes: Buffer.from('id: 8\n\n'),
      });
      t.deepEqual(late, []);
    });

    // Guards against pieces that come twice since no id tells the next endpoint of them.
    it('are not resumed after a piece without an id', (t) => {
      const bytes = Buffer.from('data: a\n\n');
      for (const unplaced of [{ id: undefined }, { id: '' }]) {
        const { send } = createHarness(CALL_KIND.ResumableStream);
        send({ kind: 'start' });
        send({ kind: 'stream_started', attempt: 1, head: HEAD });
        send({ kind: 'event', attempt: 1, id: '7', hasData: true, bytes });
        send({ kind: 'event', attempt: 1, ...unplaced, hasData: true, bytes });
        t.deepEqual(send({ kind: 'tick' }, STREAM_IDLE_TIMEOUT_MS), []);
        t.is(send({ kind: 'ended', attempt: 1, end: BROKEN })[0]?.kind, 'break_answer');
      }
    });

    // Guards against breaking off a stream since its endpoint said that it still works.
    it('are resumed after a comment, or once a piece has an id again', (t) => {
      const bytes = Buffer.from('');
      const { send } = createHarness(CALL_KIND.ResumableStream);
      send({ kind: 'start' });
      send({ kind: 'stream_started', attempt: 1, head: HEAD });
      send({ kind: 'event', attempt: 1, id: undefined, hasData: true, bytes });
      send({ kind: 'event', attempt: 1, id: '7', hasData: true, bytes });
      send({ kind: 'event', attempt: 1, id: undefined, hasData: false, bytes });
      const next = send({ kind: 'ended', attempt: 1, end: BROKEN });
      t.like(next[0], { kind: 'attempt', attempt: 2, lastEventId: '7' });
    });

    // Guards against waiting for a stream whose data centre became unreachable without a reset.
    it('are resumed at another endpoint if events stop arriving', (t) => {
      const { send } = createHarness(CALL_KIND.ResumableStream);
      send({ kind: 'start' });
      send({ kind: 'stream_started', attempt: 1, head: HEAD }, 100);
      send(
        { kind: 'event', attempt: 1, id: '3', hasData: true, bytes: Buffer.from('id: 3\n\n') },
        200,
      );
      t.deepEqual(send({ kind: 'tick' }, 200 + STREAM_IDLE_TIMEOUT_MS - 1), []);
      const sought = send({ kind: 'tick' }, 200 + STREAM_IDLE_TIMEOUT_MS);
      t.deepEqual(sought, [{ kind: 'seek', attempt: 2, lastEventId: '3' }]);
      const moved = send(buildPlaceFound(2, '3'), 200 + STREAM_IDLE_TIMEOUT_MS);
      t.like(moved[0], { kind: 'cancel', reason: 'stalled' });
      t.like(moved[1], { kind: 'move', attempt: 2 });
    });

    // Guards against events that come twice since the silent endpoint spoke while a place was sought.
    it('stay where they are if the silent endpoint goes on meanwhile', (t) => {
      const event = { kind: 'event', attempt: 1, hasData: true, bytes: Buffer.from('') } as const;
      const { send } = createHarness(CALL_KIND.ResumableStream);
      send({ kind: 'start' });
      send({ kind: 'stream_started', attempt: 1, head: HEAD }, 0);
      send({ ...event, id: '3' }, 0);
      t.is(send({ kind: 'tick' }, STREAM_IDLE_TIMEOUT_MS)[0]?.kind, 'seek');
      send({ ...event, id: '4' }, STREAM_IDLE_TIMEOUT_MS);
      t.deepEqual(send(buildPlaceFound(2, '3'), STREAM_IDLE_TIMEOUT_MS + 100), []);
      t.is(send({ kind: 'tick' }, 2 * STREAM_IDLE_TIMEOUT_MS)[0]?.kind, 'seek');
      t.deepEqual(send(buildPlaceFound(2, '3'), 2 * STREAM_IDLE_TIMEOUT_MS), []);
      t.is(send(buildPlaceFound(2, '4'), 2 * STREAM_IDLE_TIMEOUT_MS).length, 2);
    });

    // Guards against taking an endpoint for silent whose answer nobody reads.
    it('are not resumed elsewhere while this instance holds them back', (t) => {
      const { send } = createHarness(CALL_KIND.ResumableStream);
      send({ kind: 'start' });
      send({ kind: 'stream_started', attempt: 1, head: HEAD }, 100);
      send({ kind: 'held', attempt: 1 }, 200);
      t.deepEqual(send({ kind: 'tick' }, 200 + 2 * STREAM_IDLE_TIMEOUT_MS), []);
      const resumedMs = 300 + 2 * STREAM_IDLE_TIMEOUT_MS;
      send({ kind: 'resumed', attempt: 1 }, resumedMs);
      t.deepEqual(send({ kind: 'tick' }, resumedMs + STREAM_IDLE_TIMEOUT_MS - 1), []);
      t.is(send({ kind: 'tick' }, resumedMs + STREAM_IDLE_TIMEOUT_MS)[0]?.kind, 'seek');
      const moved = send(buildPlaceFound(2), resumedMs + STREAM_IDLE_TIMEOUT_MS);
      t.like(moved[0], { kind: 'cancel', reason: 'stalled' });
    });

    // Guards against a truncated stream that looks complete to the caller.
    it('that cannot be resumed end with an error visible to the caller', (t) => {
      const { send } = createHarness(CALL_KIND.Stream);
      send({ kind: 'start' });
      send({ kind: 'stream_started', attempt: 1, head: HEAD });
      const ended = send({ kind: 'ended', attempt: 1, end: BROKEN });
      t.is(ended[0]?.kind, 'break_answer');
    });

    it('are cancelled at the endpoint when the caller disconnects', (t) => {
      const { send } = createHarness(CALL_KIND.Stream);
      send({ kind: 'start' });
      t.like(send({ kind: 'caller_left' })[0], { kind: 'cancel', attempt: 1 });
    });
  });

  block('the deadline', ({ it }) => {
    it('ends a running call as one that may have run', (t) => {
      const { send } = createHarness(CALL_KIND.NonIdempotent);
      send({ kind: 'start' });
      const ended = send({ kind: 'tick' }, DEADLINE_MS);
      t.is(ended[0]?.kind, 'cancel');
      t.is(findFailure(ended)?.outcome, OUTCOME.MayHaveRun);
    });

    // Guards against a promise that nothing ran for an answer that waited here for memory.
    it('reports that a call whose answer was held back may have run', (t) => {
      const { send } = createHarness(CALL_KIND.NonIdempotent);
      send({ kind: 'start' });
      send({ kind: 'dispatched', attempt: 1 }, 100);
      send({ kind: 'held', attempt: 1 }, 200);
      const ended = send({ kind: 'tick' }, DEADLINE_MS);
      t.is(findFailure(ended)?.outcome, OUTCOME.MayHaveRun);
      t.is(findFailure(ended)?.type, FAILURE.DeadlinePassed);
    });
  });

  block('a waiting call', ({ it }) => {
    // Guards against reporting a call that was never sent as one that may have run.
    it('is reported as not run at its deadline', (t) => {
      const { send } = createHarness(CALL_KIND.NonIdempotent, 2, 10, true);
      send({ kind: 'start' });
      const ended = send({ kind: 'tick' }, DEADLINE_MS);
      t.is(findFailure(ended)?.outcome, OUTCOME.NotRun);
      t.truthy(findFailure(ended)?.retryAfterMs);
    });
  });

  block('a call whose instance stops', ({ it }) => {
    // Guards against a call that the end of the process leaves without an answer.
    it('is refused as not run only if it was never sent', (t) => {
      const waiting = createHarness(CALL_KIND.NonIdempotent, 2, 10, true);
      waiting.send({ kind: 'start' });
      const refused = waiting.send({ kind: 'instance_stops', failure: INSTANCE_STOPS });
      t.deepEqual(findFailure(refused), INSTANCE_STOPS);
      const sent = createHarness(CALL_KIND.NonIdempotent);
      sent.send({ kind: 'start' });
      const ended = sent.send({ kind: 'instance_stops', failure: INSTANCE_STOPS });
      t.like(ended[0], { kind: 'cancel', attempt: 1 });
      t.is(findFailure(ended)?.type, FAILURE.EndpointFailed);
      t.is(findFailure(ended)?.outcome, OUTCOME.MayHaveRun);
    });
  });

  block('for any order of messages', ({ it }) => {
    const ends: AttemptEnd[] = [
      { kind: 'unsent' },
      { kind: 'withheld' },
      REJECTED,
      BROKEN,
      { kind: 'answered', head: { status: 500, headers: [] }, body: Buffer.alloc(0) },
      { kind: 'answered', head: HEAD, body: Buffer.alloc(0) },
      { kind: 'stream_ended' },
    ];
    const messages = fc.oneof(
      fc.record({ kind: fc.constant('ended' as const), end: fc.constantFrom(...ends) }),
      fc.record({ kind: fc.constant('stream_started' as const), head: fc.constant(HEAD) }),
      fc.record({ kind: fc.constant('tick' as const) }),
      fc.record({ kind: fc.constant('place_found' as const), lastEventId: fc.constant(undefined) }),
      fc.record({ kind: fc.constant('caller_left' as const) }),
      fc.record({
        kind: fc.constant('instance_stops' as const),
        failure: fc.constant(INSTANCE_STOPS),
      }),
    );

    it('a call ends once, and a non-idempotent one is retried only if it did not run', (t) => {
      fc.assert(
        fc.property(
          fc.constantFrom(...Object.values(CALL_KIND)),
          fc.array(messages, { maxLength: 12 }),
          (kind, script) => {
            const { commands, send } = createHarness(kind);
            send({ kind: 'start' });
            let nowMs = 0;
            let hasBegun = false;
            for (const step of script) {
              nowMs += 200;
              const isAttempt = (command: CallCommand): boolean =>
                command.kind === 'attempt' || command.kind === 'move';
              const attempt = commands.filter(isAttempt).length;
              const number = step.kind === 'place_found' ? { next: attempt + 1 } : { attempt };
              const sent = send({ ...step, ...number } as CallMessage, nowMs);
              const isOnce = kind === CALL_KIND.NonIdempotent || kind === CALL_KIND.Stream;
              const isSentAgain = sent.some(isAttempt);
              const isProof =
                step.kind === 'ended' && ['unsent', 'withheld', 'rejected'].includes(step.end.kind);
              // A retry requires proof that the current attempt did not run.
              if (isOnce && isSentAgain && (hasBegun || !isProof)) return false;
              hasBegun = !isSentAgain && (hasBegun || step.kind === 'stream_started');
            }
            const finals = commands.filter(({ kind: end }) =>
              ['deliver_end', 'deliver_answer', 'break_answer', 'fail'].includes(end),
            );
            return finals.length <= 1;
          },
        ),
      );
      t.pass();
    });
  });
});
