import { describe } from '../test/describe.js';
import { createCaseLedger } from './case-ledger.js';
import type { CaseLedger } from './case-ledger.js';
import { createCaseOutbox } from './case-outbox.js';

function addCrashes(ledger: CaseLedger, content: string, crashes: number): void {
  for (let start = 1; start <= crashes; start += 1) {
    const crashedMs = start * 1000;
    ledger.recordCrash(
      { content, organisation: 1, start, sentMs: crashedMs - 10, crashedMs },
      crashedMs,
    );
  }
}

describe('case outbox', ({ it }) => {
  it('sends a changed case four times', (t) => {
    const ledger = createCaseLedger();
    const outbox = createCaseOutbox();
    outbox.take(ledger.list(), 0);
    addCrashes(ledger, 'x', 1);
    outbox.recordUpdate('x');
    let sent = 0;
    for (let ms = 100; ms < 1000; ms += 100) sent += outbox.take(ledger.list(), ms).length;
    t.is(sent, 4);
  });

  // Guards against a new instance sending a condemned request before it has learned of the case
  // from a large backlog.
  it('sends condemned cases every second and all others in rotation', (t) => {
    const ledger = createCaseLedger();
    const outbox = createCaseOutbox();
    addCrashes(ledger, 'condemned', 3);
    for (let count = 0; count < 30; count += 1) addCrashes(ledger, `suspect-${count}`, 1);
    const received = new Set<string>();
    for (let ms = 0; ms < 12_000; ms += 1000) {
      const contents = outbox.take(ledger.list(), ms).map(({ content }) => content);
      t.true(contents.includes('condemned'));
      for (const content of contents) received.add(content);
    }
    t.is(received.size, 31);
  });

  it('limits a batch to the size of a datagram', (t) => {
    const ledger = createCaseLedger();
    const outbox = createCaseOutbox();
    for (let count = 0; count < 100; count += 1) {
      addCrashes(ledger, `suspect-${count}`, 1);
      outbox.recordUpdate(`suspect-${count}`);
    }
    t.true(outbox.take(ledger.list(), 0).length <= 14);
  });
});
