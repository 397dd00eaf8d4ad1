import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { createCaseLedger } from './case-ledger.js';
import type { CaseLedger, ContentCrash, CaseReport } from './case-ledger.js';
import { buildCaseReport } from './case-outbox.js';
import { STANDING, computeStanding } from './crash-case.js';
import type { CrashCase, Standing } from './crash-case.js';

const ORGANISATION = 7;
const DAY_MS = 24 * 60 * 60 * 1000;

/** A crash of an endpoint to which the content was sent at `sentMs`. */
function buildCrash(
  content: string,
  start: number,
  crashedMs: number,
  sentMs: number,
): ContentCrash {
  return { content, organisation: ORGANISATION, start, sentMs, crashedMs };
}

function getStanding(ledger: CaseLedger, content: string): Standing {
  const subject = ledger.find(content);
  return subject === undefined ? STANDING.Clear : computeStanding(subject);
}

/** Records successive crashes, each of a run that began after the previous crash. */
function recordSuccessive(ledger: CaseLedger, content: string, starts: readonly number[]): void {
  starts.forEach((start, index) => {
    const crashedMs = 1000 * (index + 1);
    ledger.recordCrash(buildCrash(content, start, crashedMs, crashedMs - 500), crashedMs);
  });
}

/** Describes evidence independently of the order in which it was learned. */
function describeEvidence({ content, crashes, cleared }: CrashCase): string {
  const counted = [...crashes.keys()].sort((a, b) => a - b).join(',');
  return `${content}: ${counted} without ${[...cleared].sort((a, b) => a - b).join(',')}`;
}

describe('case ledger', ({ describe: block }) => {
  block('a content', ({ it }) => {
    it('is suspect after one crash, due for a last trial after two, and condemned after three', (t) => {
      const ledger = createCaseLedger();
      const standings = [1, 2, 3].map((start) => {
        recordSuccessive(ledger, 'x', [1, 2, 3].slice(0, start));
        return getStanding(ledger, 'x');
      });
      t.deepEqual(standings, [STANDING.Suspect, STANDING.LastTrial, STANDING.Condemned]);
    });

    // Guards against refusing a popular request because several endpoints that ran it lost power
    // together: one more run must decide.
    it('is not condemned by simultaneous crashes until a later run crashes too', (t) => {
      const ledger = createCaseLedger();
      for (const start of [1, 2, 3, 4]) ledger.recordCrash(buildCrash('x', start, 1000, 900), 1000);
      t.is(getStanding(ledger, 'x'), STANDING.LastTrial);
      ledger.recordCrash(buildCrash('x', 5, 3000, 2000), 3000);
      t.is(getStanding(ledger, 'x'), STANDING.Condemned);
    });

    it('counts one crash once when several copies ran on the endpoint', (t) => {
      const ledger = createCaseLedger();
      for (let copy = 0; copy < 5; copy += 1)
        ledger.recordCrash(buildCrash('x', 1, 1000, 900), 1000);
      t.is(getStanding(ledger, 'x'), STANDING.Suspect);
    });

    it('stays clear after a complete answer when a late report repeats its crashes', (t) => {
      const ledger = createCaseLedger();
      recordSuccessive(ledger, 'x', [1, 2, 3]);
      const report = buildCaseReport(ledger.find('x') as CrashCase, 3000);
      ledger.release('x', 4000);
      ledger.merge(report, 5000);
      t.is(getStanding(ledger, 'x'), STANDING.Clear);
      ledger.recordCrash(buildCrash('x', 4, 6000, 5500), 6000);
      t.is(getStanding(ledger, 'x'), STANDING.Suspect);
    });

    // Guards against blaming contents for a network partition, where connections are refused
    // although the endpoints keep running.
    it('is clear again when the endpoint answers a later request', (t) => {
      const ledger = createCaseLedger();
      ledger.recordCrash(buildCrash('x', 1, 1000, 900), 1000);
      t.deepEqual(ledger.releaseStart(1, 900, 1500), []);
      t.is(getStanding(ledger, 'x'), STANDING.Suspect);
      t.is(ledger.releaseStart(1, 1200, 1500).length, 1);
      t.is(getStanding(ledger, 'x'), STANDING.Clear);
    });

    it('expires after a day without activity', (t) => {
      const ledger = createCaseLedger();
      recordSuccessive(ledger, 'x', [1, 2, 3]);
      ledger.advance(3000 + DAY_MS);
      t.is(getStanding(ledger, 'x'), STANDING.Condemned);
      ledger.advance(3001 + DAY_MS);
      t.true(ledger.isEmpty());
    });
  });

  block('reports between instances', ({ it }) => {
    it('merge to the same evidence in any order and when repeated', (t) => {
      const event = fc.record({
        content: fc.constantFrom('x', 'y'),
        start: fc.integer({ min: 1, max: 6 }),
        isRelease: fc.boolean(),
      });
      fc.assert(
        fc.property(
          fc.array(event, { maxLength: 20 }),
          fc.infiniteStream(fc.nat()),
          (events, order) => {
            const sender = createCaseLedger();
            const reports: CaseReport[] = [];
            events.forEach(({ content, start, isRelease }, index) => {
              const nowMs = 1000 * (index + 1);
              if (isRelease) sender.release(content, nowMs);
              else sender.recordCrash(buildCrash(content, start, nowMs, nowMs - 500), nowMs);
              const subject = sender.find(content);
              if (subject !== undefined) reports.push(buildCaseReport(subject, nowMs));
            });
            const shuffled = [...reports, ...reports]
              .map((report) => ({ report, rank: order.next().value ?? 0 }))
              .sort((a, b) => a.rank - b.rank);
            const receiver = createCaseLedger();
            for (const { report } of shuffled) receiver.merge(report, 100_000);
            const list = (ledger: CaseLedger): string[] =>
              ledger.list().map(describeEvidence).sort();
            t.deepEqual(list(receiver), list(sender));
          },
        ),
      );
    });
  });

  block('popular requests', ({ it }) => {
    // Guards against refusing one organisation's requests for crashes that another's caused: each
    // popular request completes somewhere between two crashes.
    it('are never condemned while they complete between crashes', (t) => {
      const crash = fc.array(fc.integer({ min: 0, max: 9 }), { minLength: 1, maxLength: 10 });
      fc.assert(
        fc.property(fc.array(crash, { maxLength: 30 }), (crashes) => {
          const ledger = createCaseLedger();
          crashes.forEach((popular, index) => {
            const nowMs = 1000 * (index + 1);
            const affected = [...new Set(popular)].map((one) => `popular-${one}`);
            for (const content of [...affected, 'culprit']) {
              ledger.recordCrash(buildCrash(content, index, nowMs, nowMs - 500), nowMs);
              if (content !== 'culprit') {
                t.not(getStanding(ledger, content), STANDING.Condemned);
                ledger.release(content, nowMs + 100);
              }
            }
          });
          return crashes.length < 3 || getStanding(ledger, 'culprit') === STANDING.Condemned;
        }),
      );
    });
  });

  block('capacity', ({ it }) => {
    // Guards against one organisation evicting the others' cases by sending many different crashing
    // requests.
    it('is bounded, and an organisation evicts only its own cases', (t) => {
      const ledger = createCaseLedger();
      recordSuccessive(ledger, 'theirs', [1, 2, 3]);
      for (let count = 0; count < 5000; count += 1) {
        const crash = buildCrash(`own-${count}`, 1000 + count, 5000 + count, 4000);
        ledger.recordCrash({ ...crash, organisation: 8 }, 5000 + count);
      }
      t.is(getStanding(ledger, 'theirs'), STANDING.Condemned);
      t.is(ledger.list().length, 513);
    });

    it('rejects a reported case with a single crash when full', (t) => {
      const ledger = createCaseLedger();
      for (let count = 0; count < 4096; count += 1) {
        const crash = buildCrash(`own-${count}`, count, 1000, 900);
        ledger.recordCrash({ ...crash, organisation: count % 16 }, 1000);
      }
      const crashes = [1, 2, 3].map((start) => ({ start, sentAgoMs: 9, crashedAgoMs: 8 }));
      const report: CaseReport = {
        content: 'x',
        organisation: 1,
        crashes,
        cleared: [],
        trial: undefined,
      };
      t.is(ledger.merge({ ...report, crashes: crashes.slice(0, 1) }, 2000), undefined);
      t.is(ledger.merge(report, 2000)?.standing, STANDING.LastTrial);
      t.is(ledger.list().length, 4096);
    });
  });
});
