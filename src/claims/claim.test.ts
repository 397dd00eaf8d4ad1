import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { OUTCOME } from '../types/outcomes.js';
import { createAttemptLedger } from './attempt-ledger.js';
import type { AttemptLedger } from './attempt-ledger.js';
import { CLAIM_SEND_WINDOW_MS, createClaim } from './claim.js';
import type { AttemptVerdict, Claim, ClaimCommand, ReadClaim, WriteResult } from './claim.js';
import { CLAIM_RETENTION_MS, CLAIM_STATE } from './claim-document.js';
import type { ClaimDocument } from './claim-document.js';

const BODY = 'body-hash';

/** One item of the table, whose writes may be applied late. */
function createFakeItem() {
  let item: ReadClaim | undefined;
  const delayedWrites: (() => void)[] = [];

  function applyInsert(document: ClaimDocument): boolean {
    if (item !== undefined) return false;
    item = { version: 1, document };
    return true;
  }

  function applyReplace(document: ClaimDocument, expectedVersion: number): boolean {
    if (item?.version !== expectedVersion) return false;
    item = { version: expectedVersion + 1, document };
    return true;
  }

  return {
    read: () => item,
    applyInsert,
    applyReplace,
    delayedWrites,
    applyDelayed() {
      delayedWrites.shift()?.();
    },
  };
}

type FakeItem = ReturnType<typeof createFakeItem>;

/** How the table treats the next write. */
type WriteFault = 'none' | 'answer_lost' | 'late' | 'never';

function runWrite(item: FakeItem, fault: WriteFault, write: () => boolean): WriteResult {
  switch (fault) {
    case 'none':
      return write() ? 'written' : 'conflict';
    case 'answer_lost':
      write();
      return 'ambiguous';
    case 'late':
      item.delayedWrites.push(write);
      return 'ambiguous';
    default:
      return 'ambiguous';
  }
}

/** An attempt at the same key, stepped by the test. */
interface Attempt {
  readonly claim: Claim;
  readonly attemptId: string;
  readonly ledger: AttemptLedger;
  command: ClaimCommand;
  runs: number;
}

function startAttempt(attemptId: string, ledger: AttemptLedger): Attempt {
  const claim = createClaim({ attemptId, entry: 'entry', bodyHash: BODY });
  ledger.add(attemptId);
  const command = claim.handle({ kind: 'start', monotonicMs: 0, wallMs: 0 });
  return { claim, attemptId, ledger, command, runs: 0 };
}

function isEnded(command: ClaimCommand): boolean {
  return ['proceed', 'replay', 'refuse'].includes(command.kind);
}

function getVerdict(attempts: readonly Attempt[], attemptId: string): AttemptVerdict {
  const found = attempts.find((attempt) => attempt.attemptId === attemptId);
  const state = found?.ledger.get(attemptId);
  if (state === undefined) return 'unknown';
  return state === 'abandoned' ? 'abandoned' : 'sent';
}

/** Executes the attempt's current command. */
function runStep(
  item: FakeItem,
  attempts: readonly Attempt[],
  attempt: Attempt,
  fault: WriteFault,
) {
  const { claim, command } = attempt;
  switch (command.kind) {
    case 'insert': {
      const result = runWrite(item, fault, () => item.applyInsert(command.document));
      attempt.command = claim.handle({ kind: 'inserted', result });
      break;
    }
    case 'take_over': {
      const result = runWrite(item, fault, () =>
        item.applyReplace(command.document, command.expectedVersion),
      );
      attempt.command = claim.handle({ kind: 'taken_over', result });
      break;
    }
    case 'read':
      attempt.command = claim.handle(
        fault === 'never'
          ? { kind: 'read_failed' }
          : { kind: 'read', claim: item.read(), wallMs: 1 },
      );
      break;
    case 'query':
      attempt.command = claim.handle({
        kind: 'answered',
        verdict: fault === 'never' ? 'unknown' : getVerdict(attempts, command.attemptId),
      });
      break;
    case 'proceed':
      // The final check before sending, as in production.
      if (attempt.runs === 0 && attempt.ledger.markSent(attempt.attemptId)) attempt.runs += 1;
      break;
    default:
      break;
  }
  const isClosed = attempt.command.kind === 'refuse' || attempt.command.kind === 'replay';
  if (isClosed) attempt.ledger.abandon(attempt.attemptId);
}

const faultArbitrary = fc.constantFrom<WriteFault>('none', 'answer_lost', 'late', 'never');

describe('claim', ({ describe: describeInner, it }) => {
  it('lets at most one attempt run under any order of faults', (t) => {
    // Guards against running a request twice when several instances use the same key, responses are
    // lost, inserts are applied late and attempts are abandoned at any step.
    const property = fc.property(
      fc.array(
        fc.record({
          attempt: fc.integer({ min: 0, max: 3 }),
          fault: faultArbitrary,
          isDelayedApplied: fc.boolean(),
          isAbandoning: fc.integer({ min: 0, max: 9 }).map((draw) => draw === 0),
        }),
        { maxLength: 60 },
      ),
      (steps) => {
        const item = createFakeItem();
        const ledgers = [createAttemptLedger(), createAttemptLedger()];
        const attempts: Attempt[] = [0, 1, 2, 3].map((index) =>
          startAttempt(`a${index}`, ledgers[index % 2] as AttemptLedger),
        );
        for (const step of steps) {
          const attempt = attempts[step.attempt] as Attempt;
          // An abandoned attempt is never sent, unless it was sent already.
          if (step.isAbandoning) attempt.ledger.abandon(attempt.attemptId);
          runStep(item, attempts, attempt, step.fault);
          if (step.isDelayedApplied) item.applyDelayed();
        }
        const runs = attempts.reduce((sum, attempt) => sum + attempt.runs, 0);
        const areRefusalsCorrect = attempts.every(
          ({ command, runs: own }) =>
            command.kind !== 'refuse' || command.failure.outcome !== OUTCOME.NotRun || own === 0,
        );
        return runs <= 1 && areRefusalsCorrect;
      },
    );
    t.notThrows(() => fc.assert(property, { seed: 11, numRuns: 5000 }));
  });

  it('does not proceed while its insert may still be applied', (t) => {
    // Guards against running a request twice: the insert's response is lost, the read finds
    // nothing, and the insert is applied only after the request was sent.
    const item = createFakeItem();
    const attempt = startAttempt('a0', createAttemptLedger());
    runStep(item, [attempt], attempt, 'late');
    runStep(item, [attempt], attempt, 'none');
    t.is(attempt.command.kind, 'refuse');
    item.applyDelayed();
    t.false(attempt.ledger.markSent('a0'));
    const second = startAttempt('a1', createAttemptLedger());
    while (!isEnded(second.command)) runStep(item, [attempt, second], second, 'none');
    t.is(second.command.kind, 'proceed');
  });

  describeInner('with an existing claim', ({ it: itInner }) => {
    function handleExistingClaim(document: Partial<ClaimDocument>, wallMs = 1): ClaimCommand {
      const claim = createClaim({ attemptId: 'mine', entry: 'entry', bodyHash: BODY });
      claim.handle({ kind: 'start', monotonicMs: 0, wallMs });
      claim.handle({ kind: 'inserted', result: 'conflict' });
      const full: ClaimDocument = {
        attemptId: 'theirs',
        entry: 'other',
        bodyHash: BODY,
        state: CLAIM_STATE.Claimed,
        claimedWallMs: 0,
        ...document,
      };
      return claim.handle({ kind: 'read', claim: { version: 1, document: full }, wallMs });
    }

    itInner('refuses a different body', (t) => {
      const command = handleExistingClaim({ bodyHash: 'another' });
      t.is(command.kind === 'refuse' && command.failure.type, 'idempotency_key_reused');
    });

    itInner('replays a completed request', (t) => {
      const answer = { status: 200, contentType: 'text/plain', body: 'done' };
      t.deepEqual(handleExistingClaim({ state: CLAIM_STATE.Done, answer }), {
        kind: 'replay',
        answer,
      });
    });

    itInner('reports that the request may have run if the holder does not respond', (t) => {
      // Guards against running a request twice because an instance that died after sending does not
      // respond and its silence is taken as proof that nothing was sent.
      const claim = createClaim({ attemptId: 'mine', entry: 'entry', bodyHash: BODY });
      claim.handle({ kind: 'start', monotonicMs: 0, wallMs: 0 });
      claim.handle({ kind: 'inserted', result: 'conflict' });
      const document: ClaimDocument = {
        attemptId: 'theirs',
        entry: 'dead',
        bodyHash: BODY,
        state: CLAIM_STATE.Claimed,
        claimedWallMs: 0,
      };
      claim.handle({ kind: 'read', claim: { version: 1, document }, wallMs: 1 });
      const command = claim.handle({ kind: 'answered', verdict: 'unknown' });
      t.is(command.kind === 'refuse' && command.failure.outcome, OUTCOME.MayHaveRun);
    });

    itInner('takes over a claim older than the retention', (t) => {
      t.is(handleExistingClaim({}, CLAIM_RETENTION_MS + 2).kind, 'take_over');
    });
  });

  it('expires by either clock', (t) => {
    // Guards against sending an attempt whose claim another instance may have taken over, after the
    // monotonic clock stood still or the wall clock was set back.
    const claim = createClaim({ attemptId: 'a', entry: 'entry', bodyHash: BODY });
    claim.handle({ kind: 'start', monotonicMs: 1000, wallMs: 5_000_000 });
    t.true(claim.isFresh(1000 + CLAIM_SEND_WINDOW_MS - 1, 5_000_000));
    t.false(claim.isFresh(1000 + CLAIM_SEND_WINDOW_MS, 5_000_000));
    t.false(claim.isFresh(1000, 5_000_000 + CLAIM_SEND_WINDOW_MS));
    t.false(claim.isFresh(1000, 5_000_000 - CLAIM_SEND_WINDOW_MS));
  });
});
