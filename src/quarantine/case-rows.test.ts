import { createActor, createVirtualTime } from '../soak/virtual-time.js';
import { describe } from '../test/describe.js';
import { createCaseLedger } from './case-ledger.js';
import type { CaseReport } from './case-ledger.js';
import { CASE_STATE, createCaseRows } from './case-rows.js';
import type { CaseRow, CaseStore } from './case-rows.js';
import { STANDING, computeStanding } from './crash-case.js';
import type { CrashCase } from './crash-case.js';

const ROW: CaseRow = {
  content: 'x',
  organisation: 1,
  starts: [11, 12, 13],
  state: CASE_STATE.Condemned,
  who: '',
  reason: '',
};
const SUBJECT: CrashCase = {
  content: 'x',
  organisation: 1,
  crashes: new Map(ROW.starts.map((start) => [start, { start, sentMs: 0, crashedMs: 1 }])),
  cleared: new Set(),
  trial: undefined,
  changedMs: 0,
  lastActiveMs: 0,
};

function createStore(rows: CaseRow[], isDown: () => boolean): CaseStore {
  return {
    list: () => Promise.resolve(isDown() ? undefined : rows),
    set(row) {
      if (!isDown()) rows.push(row);
      return Promise.resolve(!isDown());
    },
    takeTrialLease: () => Promise.resolve(false),
  };
}

describe('case rows', ({ it }) => {
  // Guards against forgetting condemned requests when all instances restart at once.
  it('condemn a content on an instance that has no cases', async (t) => {
    const time = createVirtualTime();
    const timers = time.createTimers(createActor('a'), 0);
    const reports: CaseReport[] = [];
    const rows = createCaseRows({
      store: createStore([ROW], () => false),
      timers,
      onReport: (report) => reports.push(report),
    });
    await time.runUntil(2000);
    t.deepEqual(reports, [], 'rows were read by an instance that does not follow the source');
    rows.setReading(true);
    await time.runUntil(4000);
    t.is(reports.length, 1);
    const ledger = createCaseLedger();
    ledger.merge(reports[0] as CaseReport, 4000);
    t.is(computeStanding(ledger.find('x') as CrashCase), STANDING.Condemned);
    timers.stop();
  });

  it('are written once the store accepts them', async (t) => {
    const time = createVirtualTime();
    const timers = time.createTimers(createActor('a'), 0);
    const stored: CaseRow[] = [];
    const rows = createCaseRows({
      store: createStore(stored, () => time.getNow() < 5000),
      timers,
      onReport: () => undefined,
    });
    rows.add(SUBJECT, CASE_STATE.Condemned, '', '');
    await time.runUntil(8000);
    t.deepEqual(stored, [ROW]);
    timers.stop();
  });

  // Guards against an old release, which is read again every minute, clearing crashes that were
  // found after it.
  it('release a content only from the crashes that they name', async (t) => {
    const time = createVirtualTime();
    const timers = time.createTimers(createActor('a'), 0);
    const ledger = createCaseLedger();
    const row: CaseRow = { ...ROW, state: CASE_STATE.Released, who: 'mara', reason: 'mended' };
    for (const start of [...ROW.starts, 21, 22]) {
      const crashedMs = start * 10;
      const crash = { content: 'x', organisation: 1, start, sentMs: crashedMs - 5, crashedMs };
      ledger.recordCrash(crash, crashedMs);
    }
    const rows = createCaseRows({
      store: createStore([row], () => false),
      timers,
      onReport: (report) => ledger.merge(report, time.getNow()),
    });
    rows.setReading(true);
    await time.runUntil(2000);
    t.deepEqual([...(ledger.find('x')?.crashes.keys() ?? [])], [21, 22]);
    timers.stop();
  });
});
