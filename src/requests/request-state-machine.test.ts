import fc from 'fast-check';
import { createInvariants } from '../runtime/invariants.js';
import { describe } from '../test/describe.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';
import { createRequestStateMachine } from './request-state-machine.js';
import { REPEATABILITY } from './request-messages.js';
import type {
  AttemptEnding,
  RequestCommand,
  RequestMessage,
  Repeatability,
} from './request-messages.js';

const FRAMES = 6;
const DEADLINE_MS = 10_000;
const INSTANCE_STOPS: RequestFailure = {
  type: FAILURE.NotReady,
  message: 'stops',
  outcome: OUTCOME.NotRun,
  retryAfterMs: 50,
};

interface Setup {
  readonly repeatability?: Repeatability;
  readonly takeClaim?: () => boolean;
  readonly takeRetry?: () => boolean;
}

function createLifecycle(setup: Setup = {}) {
  const invariants = createInvariants((breach) => {
    throw new Error(`${breach.name}: ${breach.detail}`);
  });
  return createRequestStateMachine({
    requestId: 'r',
    repeatability: setup.repeatability ?? REPEATABILITY.Repeatable,
    deadlineMs: DEADLINE_MS,
    invariants,
    getFirstFrameTimeoutMs: () => 500,
    getFrameGapTimeoutMs: () => 200,
    takeRetry: setup.takeRetry ?? (() => true),
    takeClaim: setup.takeClaim ?? (() => true),
  });
}

function findCommand<K extends RequestCommand['kind']>(
  commands: readonly RequestCommand[],
  kind: K,
) {
  return commands.find(
    (command): command is Extract<RequestCommand, { kind: K }> => command.kind === kind,
  );
}

function startLifecycle(setup: Setup = {}) {
  const lifecycle = createLifecycle(setup);
  const started = lifecycle.handle({ kind: 'start' }, 0);
  const acquired = findCommand(started, 'acquire');
  lifecycle.handle({ kind: 'granted', ticketId: acquired?.ticketId ?? '', endpoint: 'e1' }, 1);
  return lifecycle;
}

/** Ends the first attempt of a request; returns what follows. */
function closeFirstAttempt(repeatability: Repeatability, ending: AttemptEnding) {
  const lifecycle = startLifecycle({ repeatability });
  return lifecycle.handle({ kind: 'attempt_ended', attemptId: 'r-1', ending }, 2);
}

/** Any message, valid in the current state or not. */
const messageArbitrary: fc.Arbitrary<RequestMessage> = fc.oneof(
  fc.record({
    kind: fc.constant('frame' as const),
    attemptId: fc.constantFrom('r-1', 'r-2', 'r-3', 'other-1'),
    index: fc.integer({ min: 0, max: FRAMES }),
    text: fc.constant(''),
  }),
  fc.record({
    kind: fc.constant('finished' as const),
    attemptId: fc.constantFrom('r-1', 'r-2', 'other-1'),
    index: fc.constant(FRAMES),
  }),
  fc.record({
    kind: fc.constant('attempt_ended' as const),
    attemptId: fc.constantFrom('r-1', 'r-2', 'r-3'),
    ending: fc.constantFrom(
      'unsent' as const,
      'leaving' as const,
      'resting' as const,
      'withheld' as const,
      'error' as const,
      'broken' as const,
      'rejected' as const,
    ),
  }),
  fc.record({
    kind: fc.constant('granted' as const),
    ticketId: fc.constantFrom('r.1', 'r.2', 'r.3'),
    endpoint: fc.constantFrom('e1', 'e2'),
  }),
  fc.record({
    kind: fc.constant('preempted' as const),
    ticketId: fc.constantFrom('r.1', 'r.2'),
  }),
  fc.constant({ kind: 'claimed' as const }),
  fc.constant({ kind: 'replayed' as const }),
  fc.constant({ kind: 'caller_left' as const }),
  fc.constant({ kind: 'instance_stops' as const, failure: INSTANCE_STOPS }),
  fc.constant({ kind: 'tick' as const, lateMs: 0 }),
);

describe('request lifecycle', ({ describe: describeInner, it }) => {
  describeInner('an answer that goes on at another endpoint', ({ it: itResumed }) => {
    /** Breaks after two frames of one endpoint, and gets the first frame of the next one. */
    function startSecond(first: string | undefined, second: string | undefined) {
      const lifecycle = startLifecycle();
      const frame = { kind: 'frame', attemptId: 'r-1', text: 'a' } as const;
      lifecycle.handle({ ...frame, index: 0, fingerprint: first }, 2);
      lifecycle.handle({ ...frame, index: 1, fingerprint: first }, 3);
      lifecycle.handle({ kind: 'attempt_ended', attemptId: 'r-1', ending: 'broken' }, 4);
      lifecycle.handle({ kind: 'granted', ticketId: 'r.2', endpoint: 'e2' }, 5);
      const next = { ...frame, attemptId: 'r-2', index: 2, fingerprint: second };
      return { lifecycle, commands: lifecycle.handle(next, 6) };
    }

    // Guards against an answer that is joined from two versions of the endpoints' software.
    itResumed('is not joined with what another version writes', (t) => {
      for (const [first, second] of [
        ['v1', 'v2'],
        ['v1', undefined],
        [undefined, 'v2'],
      ]) {
        const { lifecycle, commands } = startSecond(first, second);
        t.is(findCommand(commands, 'deliver'), undefined);
        t.truthy(findCommand(commands, 'cancel_attempt'));
        t.deepEqual(findCommand(commands, 'acquire')?.excluded, ['e1', 'e2']);
        t.is(lifecycle.countDelivered(), 2);
      }
    });

    // Guards against losing answers of endpoints that say the same, or nothing, of their software.
    itResumed('goes on at the same version', (t) => {
      for (const fingerprint of ['v1', undefined]) {
        const { commands } = startSecond(fingerprint, fingerprint);
        t.truthy(findCommand(commands, 'deliver'));
      }
    });
  });

  // Guards against a rejection that asks for rest, which proves nothing, as a proof that nothing ran.
  it('repeats a request that may run once only if nothing was sent', (t) => {
    const { SingleAttempt, Repeatable } = REPEATABILITY;
    t.truthy(findCommand(closeFirstAttempt(SingleAttempt, 'withheld'), 'acquire'));
    t.truthy(findCommand(closeFirstAttempt(Repeatable, 'resting'), 'acquire'));
    const failed = findCommand(closeFirstAttempt(SingleAttempt, 'resting'), 'fail');
    t.is(failed?.failure.outcome, OUTCOME.MayHaveRun);
  });

  it('upholds its invariants for any sequence of messages', (t) => {
    const property = fc.property(
      fc.constantFrom(...Object.values(REPEATABILITY)),
      fc.array(messageArbitrary, { maxLength: 40 }),
      fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 40, maxLength: 40 }),
      (repeatability, messages, waits) => {
        const lifecycle = createLifecycle({ repeatability });
        const all = [...lifecycle.handle({ kind: 'start' }, 0)];
        let nowMs = 0;
        messages.forEach((message, index) => {
          nowMs += waits[index] ?? 0;
          const text = message.kind === 'frame' ? `${message.index} ` : '';
          const shaped = message.kind === 'frame' ? { ...message, text } : message;
          all.push(...lifecycle.handle(shaped, nowMs));
        });
        const finals = all.filter(({ kind }) => ['complete', 'fail', 'replay'].includes(kind));
        const delivered = all
          .flatMap((command) => (command.kind === 'deliver' ? [command.text] : []))
          .join('');
        const expected = Array.from({ length: FRAMES + 1 }, (_, index) => `${index} `).join('');
        const sent = all.filter(({ kind }) => kind === 'dispatch').length;
        const failed = findCommand(all, 'fail');
        const isTrue =
          sent > 0 || failed === undefined || failed.failure.outcome === OUTCOME.NotRun;
        return finals.length <= 1 && expected.startsWith(delivered) && isTrue;
      },
    );
    t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 2000 }));
  });

  describeInner('frames', ({ it: itInner }) => {
    itInner('of another request are dropped', (t) => {
      // Guards against delivering another request's text when an endpoint mixes up two requests on
      // one connection.
      const lifecycle = startLifecycle();
      lifecycle.handle({ kind: 'frame', attemptId: 'r-1', index: 0, text: 'mine ' }, 2);
      const crossed = lifecycle.handle(
        { kind: 'frame', attemptId: 'x-1', index: 1, text: 'theirs ' },
        3,
      );
      t.deepEqual(crossed, [{ kind: 'drop_frame', reason: 'foreign' }]);
      const next = lifecycle.handle({ kind: 'frame', attemptId: 'r-1', index: 1, text: 'own ' }, 4);
      t.deepEqual(next, [{ kind: 'deliver', text: 'own ' }]);
    });

    itInner('after a gap make the answer resume on another endpoint', (t) => {
      // Guards against delivering an answer with a gap when a frame is lost on the way.
      const lifecycle = startLifecycle();
      lifecycle.handle({ kind: 'frame', attemptId: 'r-1', index: 0, text: 'a ' }, 2);
      const commands = lifecycle.handle(
        { kind: 'frame', attemptId: 'r-1', index: 2, text: 'c ' },
        3,
      );
      t.deepEqual(
        commands.map(({ kind }) => kind),
        ['drop_frame', 'cancel_attempt', 'release', 'acquire'],
      );
      const acquired = findCommand(commands, 'acquire');
      const resumed = lifecycle.handle(
        { kind: 'granted', ticketId: acquired?.ticketId ?? '', endpoint: 'e2' },
        4,
      );
      t.is(findCommand(resumed, 'dispatch')?.offset, 1);
    });

    itInner('missing at the end never make a complete answer', (t) => {
      // Guards against taking a truncated answer for a whole one when the endpoint closes the
      // stream cleanly but early.
      const lifecycle = startLifecycle({ takeRetry: () => false });
      lifecycle.handle({ kind: 'frame', attemptId: 'r-1', index: 0, text: 'a ' }, 2);
      const commands = lifecycle.handle({ kind: 'finished', attemptId: 'r-1', index: 3 }, 3);
      t.is(findCommand(commands, 'complete'), undefined);
      t.is(findCommand(commands, 'fail')?.failure.outcome, OUTCOME.Incomplete);
    });
  });

  describeInner('silence', ({ it: itInner }) => {
    itInner('moves a repeatable request to another endpoint', (t) => {
      // Guards against waiting forever on a connection that stopped delivering frames without an
      // error.
      const lifecycle = startLifecycle();
      lifecycle.handle({ kind: 'frame', attemptId: 'r-1', index: 0, text: 'a ' }, 10);
      t.deepEqual(lifecycle.handle({ kind: 'tick', lateMs: 0 }, 200), []);
      const commands = lifecycle.handle({ kind: 'tick', lateMs: 0 }, 220);
      t.deepEqual(
        commands.map(({ kind }) => kind),
        ['cancel_attempt', 'release', 'acquire'],
      );
    });

    itInner('caused by a pause of this process moves no request', (t) => {
      // Guards against moving every answer after this process was paused, while the frames that
      // arrived meanwhile are still unread.
      const lifecycle = startLifecycle();
      lifecycle.handle({ kind: 'frame', attemptId: 'r-1', index: 0, text: 'a ' }, 10);
      t.deepEqual(lifecycle.handle({ kind: 'tick', lateMs: 2000 }, 2100), []);
    });

    itInner('never resends a request that may run only once', (t) => {
      // Guards against running a request twice because the endpoint is slow: it waits for the
      // deadline instead.
      const lifecycle = createLifecycle({ repeatability: REPEATABILITY.Once });
      lifecycle.handle({ kind: 'start' }, 0);
      const claimed = lifecycle.handle({ kind: 'claimed' }, 1);
      const ticketId = findCommand(claimed, 'acquire')?.ticketId ?? '';
      lifecycle.handle({ kind: 'granted', ticketId, endpoint: 'e1' }, 2);
      t.deepEqual(lifecycle.handle({ kind: 'tick', lateMs: 0 }, 5000), []);
      const late = lifecycle.handle({ kind: 'tick', lateMs: 0 }, DEADLINE_MS);
      t.is(findCommand(late, 'fail')?.failure.outcome, OUTCOME.MayHaveRun);
    });
  });

  it('does not send a request whose claim expired during a pause', (t) => {
    // Guards against running a request twice after a pause between claiming and sending, when
    // another instance may hold the claim.
    const lifecycle = createLifecycle({
      repeatability: REPEATABILITY.Once,
      takeClaim: () => false,
    });
    lifecycle.handle({ kind: 'start' }, 0);
    const claimed = lifecycle.handle({ kind: 'claimed' }, 1);
    const ticketId = findCommand(claimed, 'acquire')?.ticketId ?? '';
    const commands = lifecycle.handle({ kind: 'granted', ticketId, endpoint: 'e1' }, 2);
    t.is(findCommand(commands, 'dispatch'), undefined);
    t.is(findCommand(commands, 'fail')?.failure.outcome, OUTCOME.NotRun);
  });

  it('sends no second answer when the caller leaves after a replay', (t) => {
    // Guards against a second final answer, which would return the organisation's slot twice.
    const lifecycle = createLifecycle({ repeatability: REPEATABILITY.Once });
    lifecycle.handle({ kind: 'start' }, 0);
    t.deepEqual(lifecycle.handle({ kind: 'replayed' }, 1), [{ kind: 'replay' }]);
    t.deepEqual(lifecycle.handle({ kind: 'caller_left' }, 2), []);
  });

  // Guards against a request that the end of the process leaves without an answer.
  it('is refused as not run when its instance stops, unless it was sent', (t) => {
    const queued = createLifecycle();
    queued.handle({ kind: 'start' }, 0);
    const refused = queued.handle({ kind: 'instance_stops', failure: INSTANCE_STOPS }, 1);
    t.truthy(findCommand(refused, 'withdraw'));
    t.deepEqual(findCommand(refused, 'fail')?.failure, INSTANCE_STOPS);
    const sent = startLifecycle();
    const ended = sent.handle({ kind: 'instance_stops', failure: INSTANCE_STOPS }, 2);
    t.truthy(findCommand(ended, 'cancel_attempt'));
    t.is(findCommand(ended, 'fail')?.failure.outcome, OUTCOME.MayHaveRun);
  });
});
