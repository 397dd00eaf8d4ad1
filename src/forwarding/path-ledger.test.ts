import { describe } from '../test/describe.js';
import { PATH_STATE, createPathLedger } from './path-ledger.js';
import type { PathChange, PathLedger } from './path-ledger.js';

const TICK_MS = 100;
const PATIENCE_MS = 200;

interface Harness {
  readonly ledger: PathLedger;
  readonly changes: PathChange[];
  /** Advances time tick by tick. */
  runFor(ms: number): void;
  /** Lets time pass without a tick. */
  pauseFor(ms: number): void;
}

function createHarness(): Harness {
  let nowMs = 0;
  const changes: PathChange[] = [];
  const ledger = createPathLedger({
    getNow: () => nowMs,
    onChanged: (change) => changes.push(change),
  });
  return {
    ledger,
    changes,
    runFor(ms) {
      for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
        nowMs += TICK_MS;
        ledger.advance();
      }
    },
    pauseFor(ms) {
      nowMs += ms;
    },
  };
}

function setLost(ledger: PathLedger, start: string): void {
  const ticket = ledger.start(start, PATIENCE_MS, false);
  ticket.recordUnreachable();
  ticket.recordEnd();
}

describe('a path ledger', ({ describe: block }) => {
  block('of an endpoint that cannot be connected to', ({ it }) => {
    it('sends all calls through peers, and checks the connection after a second', (t) => {
      const { ledger, runFor } = createHarness();
      setLost(ledger, 'a');
      t.deepEqual(ledger.choose('a', true), { kind: 'peer', isCheckDue: false });
      runFor(1000);
      t.deepEqual(ledger.choose('a', true), { kind: 'peer', isCheckDue: true });
      t.deepEqual(ledger.choose('a', true), { kind: 'peer', isCheckDue: false });
    });

    // Guards against all calls returning at once to a path that still fails.
    it('lets one repeatable call try the path once a connection was accepted', (t) => {
      const { ledger } = createHarness();
      setLost(ledger, 'a');
      ledger.recordChecked('a', true);
      t.is(ledger.choose('a', false).kind, 'peer_first');
      t.is(ledger.choose('a', true).kind, 'trial');
      t.is(ledger.choose('a', true).kind, 'peer_first');
      ledger.start('a', PATIENCE_MS, true).recordHeard();
      t.is(ledger.choose('a', true).kind, 'direct');
    });

    // Guards against flapping on a link that comes and goes.
    it('is checked less and less often if its trials fail', (t) => {
      const { ledger, runFor } = createHarness();
      setLost(ledger, 'a');
      const checkedAfterMs: number[] = [];
      for (let round = 0; round < 4; round += 1) {
        let waitedMs = 0;
        while (JSON.stringify(ledger.choose('a', true)) !== '{"kind":"peer","isCheckDue":true}') {
          runFor(TICK_MS);
          waitedMs += TICK_MS;
        }
        checkedAfterMs.push(waitedMs);
        ledger.recordChecked('a', true);
        ledger.choose('a', true);
        ledger.start('a', PATIENCE_MS, true).recordEnd();
      }
      t.deepEqual(checkedAfterMs, [1000, 2000, 4000, 4000]);
    });

    // Guards against peers that are asked for each call to an endpoint that is down for all.
    it('is tried directly for a second after peers did not reach it, either', (t) => {
      const { ledger, runFor } = createHarness();
      setLost(ledger, 'a');
      ledger.recordPeersFailed('a');
      t.is(ledger.choose('a', true).kind, 'direct');
      runFor(1000);
      t.is(ledger.choose('a', true).kind, 'peer');
    });
  });

  block('of an endpoint that is silent', ({ it }) => {
    it('does not doubt it within a second', (t) => {
      const { ledger, changes, runFor } = createHarness();
      ledger.start('a', PATIENCE_MS, false);
      runFor(900);
      t.deepEqual(changes, []);
    });

    it('tests a doubt by one call, and sends no more through peers where it answers', (t) => {
      const { ledger, runFor } = createHarness();
      const ticket = ledger.start('a', PATIENCE_MS, false);
      runFor(1100);
      t.is(ledger.choose('a', true).kind, 'peer_first');
      t.is(ledger.choose('a', true).kind, 'direct');
      ticket.recordHeard();
      t.deepEqual(ledger.list(), []);
    });

    it('takes the path for lost if a peer gets an answer and no connection can be made', (t) => {
      const { ledger, runFor } = createHarness();
      const ticket = ledger.start('a', PATIENCE_MS, false);
      runFor(1100);
      t.true(ledger.recordPeerAnswered('a', 1050));
      t.is(ledger.choose('a', true).kind, 'peer_first');
      t.is(ledger.choose('a', false).kind, 'peer_first');
      ledger.recordChecked('a', false);
      t.is(ledger.choose('a', true).kind, 'peer');
      t.true(ledger.isLossConfirmed('a'));
      t.true(ticket.computeSilence() >= 1000);
    });

    // Guards against taking a path for lost since the endpoint is silent to some and answers others.
    it('does not take the path for lost if a connection is accepted', (t) => {
      const { ledger, runFor } = createHarness();
      const ticket = ledger.start('a', PATIENCE_MS, false);
      runFor(1100);
      t.true(ledger.recordPeerAnswered('a', 1050));
      ledger.recordChecked('a', true);
      t.false(ledger.isLossConfirmed('a'));
      t.is(ledger.choose('a', true).kind, 'trial');
      t.is(ledger.choose('a', false).kind, 'peer_first');
      ticket.recordHeard();
      t.is(ledger.choose('a', false).kind, 'direct');
    });

    // Guards against a connection for each answer of a peer.
    it('checks the connection once for all answers of peers', (t) => {
      const { ledger, runFor } = createHarness();
      ledger.start('a', PATIENCE_MS, false);
      runFor(1100);
      t.true(ledger.recordPeerAnswered('a', 1050));
      t.false(ledger.recordPeerAnswered('a', 1050));
      ledger.recordChecked('a', true);
      t.false(ledger.recordPeerAnswered('a', 1050));
    });

    // Guards against calls that all return to a path on which connections are accepted and nothing passes.
    it('takes the path for lost if a call that tries it fails', (t) => {
      const { ledger, runFor } = createHarness();
      ledger.start('a', PATIENCE_MS, false);
      runFor(1100);
      ledger.recordPeerAnswered('a', 1050);
      ledger.recordChecked('a', true);
      t.is(ledger.choose('a', true).kind, 'trial');
      ledger.start('a', PATIENCE_MS, true).recordEnd();
      t.is(ledger.choose('a', true).kind, 'peer');
      ledger.recordPeerAnswered('a', 1100);
      t.true(ledger.isLossConfirmed('a'));
    });

    // Guards against taking an endpoint that paused for everybody for a lost path.
    it('keeps the path if the endpoint answered here after the peer was asked', (t) => {
      const { ledger, runFor } = createHarness();
      const ticket = ledger.start('a', PATIENCE_MS, false);
      runFor(1100);
      ticket.recordHeard();
      t.false(ledger.recordPeerAnswered('a', 1050));
      t.is(ledger.choose('a', true).kind, 'direct');
    });

    // Guards against taking an endpoint for silent whose answer nobody reads.
    it('does not doubt an endpoint whose answers are held back', (t) => {
      const { ledger, changes, runFor } = createHarness();
      const ticket = ledger.start('a', PATIENCE_MS, false);
      ticket.recordHeard();
      ticket.recordHeld();
      runFor(10_000);
      t.deepEqual(changes, []);
      t.is(ticket.computeSilence(), 0);
      ticket.recordResumed();
      runFor(10_000);
      t.like(changes[0], { start: 'a', state: PATH_STATE.Doubted });
    });

    it('is patient with calls that usually take longer', (t) => {
      const { ledger, changes, runFor } = createHarness();
      ledger.start('a', 3000, false);
      runFor(2900);
      t.deepEqual(changes, []);
    });
  });

  block('of an instance that hears from no endpoint', ({ it }) => {
    it('doubts two silent endpoints sooner, and spares the others', (t) => {
      const { ledger, runFor } = createHarness();
      ledger.start('a', PATIENCE_MS, false);
      ledger.start('b', PATIENCE_MS, false);
      runFor(700);
      t.deepEqual(
        ledger.list().map(({ state }) => state),
        [PATH_STATE.Doubted, PATH_STATE.Doubted],
      );
      t.is(ledger.choose('never used', true).kind, 'peer_first');
    });

    it('does not while another endpoint is heard', (t) => {
      const { ledger, changes, runFor } = createHarness();
      ledger.start('a', PATIENCE_MS, false);
      ledger.start('b', PATIENCE_MS, false);
      runFor(500);
      ledger.start('c', PATIENCE_MS, false).recordHeard();
      runFor(300);
      t.deepEqual(changes, []);
    });

    // Guards against a suspended process that takes its own pause for silence of all endpoints.
    it('does not after a pause of its own', (t) => {
      const { ledger, changes, runFor, pauseFor } = createHarness();
      ledger.start('a', PATIENCE_MS, false);
      ledger.start('b', PATIENCE_MS, false);
      runFor(200);
      pauseFor(5000);
      runFor(300);
      t.deepEqual(changes, []);
    });
  });
});
