import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { createRandom } from '../utils/random.js';
import type { UsageReport } from './duty-calls.js';
import { DUTY_KEY } from './duty-store.js';
import type { DutyChange, DutyRow, DutyWriteResult } from './duty-store.js';
import { createUsageReporter } from './usage-reporter.js';
import type { UsageCommand, UsageMessage, UsageReporter } from './usage-reporter.js';
import { encodeReport, listReports } from './usage-rows.js';

const WINDOW_MS = 5000;
const DUE_MS = 10_000;

/** A store with conditional writes. */
function createStore() {
  let rows: DutyRow[] = [];
  let version = 0;
  return {
    list: () => rows,
    change({ expected, writes, removes }: DutyChange): DutyWriteResult {
      const find = (key: string) => rows.find((row) => row.key === key);
      const isMet = expected.every((each) => (find(each.key)?.version ?? 0) === each.version);
      if (!isMet) return { kind: 'conflict', rows };
      version += 1;
      const replaced = new Set([...writes.map(({ key }) => key), ...removes]);
      rows = [
        ...rows.filter(({ key }) => !replaced.has(key)),
        ...writes.map(({ key, text }) => ({ key, version, text })),
      ];
      return { kind: 'written', version };
    },
  };
}

describe('usage reporter', ({ describe: block }) => {
  block('with one holder', ({ it }) => {
    function createHarness() {
      const store = createStore();
      const sent: UsageReport[] = [];
      let isComplete = true;
      const reporter = createUsageReporter({
        windowMs: WINDOW_MS,
        dueMs: DUE_MS,
        sum: (window) => [{ organisation: 'x', count: window }],
        isComplete: () => isComplete,
      });
      function run(message: UsageMessage, nowMs: number): void {
        for (const command of reporter.handle(message, nowMs)) {
          if (command.kind === 'read') run({ kind: 'read', rows: store.list() }, nowMs);
          else if (command.kind === 'change') {
            const { change } = command;
            run({ kind: 'changed', change, write: store.change(change) }, nowMs);
          } else {
            sent.push(command.report);
            run({ kind: 'sent', window: command.report.window, isAccepted: true }, nowMs);
          }
        }
      }
      const tick = (fleetMs: number): void => run({ kind: 'tick', fleetMs }, fleetMs);
      const setComplete = (next: boolean): void => {
        isComplete = next;
      };
      return { store, sent, tick, setComplete, reporter };
    }

    it('reports each window once, from the one in which the first holder starts', (t) => {
      const { sent, tick } = createHarness();
      for (let ms = 12_000; ms < 31_000; ms += 1000) tick(ms);
      t.deepEqual(
        sent.map(({ window }) => window),
        [2, 3, 4],
      );
      t.deepEqual(sent[0]?.counts, [{ organisation: 'x', count: 2 }]);
    });

    it('waits for missing counts, up to half of the reporting deadline', (t) => {
      const { sent, tick, setComplete } = createHarness();
      tick(12_000);
      tick(12_100);
      setComplete(false);
      tick(16_000);
      tick(19_900);
      t.is(sent.length, 0);
      tick(20_100);
      t.is(sent.length, 1);
    });

    it('removes the documents of acknowledged reports', (t) => {
      const { store, tick } = createHarness();
      for (let ms = 12_000; ms < 61_000; ms += 1000) tick(ms);
      t.true(store.list().length <= 3, JSON.stringify(store.list()));
    });
  });

  block('with several holders', ({ it }) => {
    interface Holder {
      readonly reporter: UsageReporter;
      readonly queue: UsageMessage[];
      isActing: boolean;
    }

    /**
     * Runs holders that overlap, stop and return, with late or lost responses; returns all reports
     * delivered.
     */
    function runReports(seed: number, steps: number): UsageReport[] {
      const random = createRandom(seed);
      const store = createStore();
      const delivered: UsageReport[] = [];
      let delayed: { readonly at: number; readonly run: () => void }[] = [];
      const clock = { step: 0 };
      const addDelayed = (run: () => void): void => {
        delayed.push({ at: clock.step + random.nextIndex(6), run });
      };
      const createHolder = (): Holder => ({
        // Each holder has received different counts.
        reporter: createUsageReporter({
          windowMs: WINDOW_MS,
          dueMs: DUE_MS,
          sum: (window) => [{ organisation: 'x', count: window * 100 + random.nextIndex(90) }],
          isComplete: () => random.next() < 0.8,
        }),
        queue: [],
        isActing: false,
      });
      const holders = [createHolder(), createHolder(), createHolder()];

      function runCommand(index: number, command: UsageCommand): void {
        const holder = holders[index] as Holder;
        const sendResponse = (message: UsageMessage): void => {
          if (random.next() < 0.2) return;
          addDelayed(() => holders[index] === holder && holder.queue.push(message));
        };
        addDelayed(() => {
          if (command.kind === 'read') sendResponse({ kind: 'read', rows: store.list() });
          else if (command.kind === 'change') {
            const { change } = command;
            sendResponse({ kind: 'changed', change, write: store.change(change) });
          } else {
            delivered.push(command.report);
            sendResponse({ kind: 'sent', window: command.report.window, isAccepted: true });
          }
        });
      }

      function runDelayed(): void {
        const due = delayed.filter(({ at }) => at <= clock.step);
        delayed = delayed.filter(({ at }) => at > clock.step);
        due.forEach(({ run }) => run());
      }

      for (; clock.step < steps; clock.step += 1) {
        const fleetMs = 12_000 + clock.step * 400;
        runDelayed();
        const index = random.nextIndex(holders.length);
        if (random.next() < 0.05) holders[index] = createHolder();
        const holder = holders[index] as Holder;
        if (random.next() < 0.1) holder.isActing = !holder.isActing;
        const messages: UsageMessage[] = [
          ...holder.queue.splice(0),
          holder.isActing ? { kind: 'tick', fleetMs } : { kind: 'lost' },
        ];
        for (const message of messages) {
          for (const command of holder.reporter.handle(message, fleetMs))
            runCommand(index, command);
        }
      }
      return delivered;
    }

    // Guards against two different reports for one window.
    it('sends identical reports for a window from every holder', (t) => {
      let windows = 0;
      fc.assert(
        fc.property(fc.integer(), (seed) => {
          const textByWindow = new Map<number, string>();
          for (const { window, counts } of runReports(seed, 300)) {
            const text = JSON.stringify(counts);
            if ((textByWindow.get(window) ?? text) !== text) return false;
            textByWindow.set(window, text);
          }
          windows += textByWindow.size;
          return true;
        }),
        { seed: 5, numRuns: Number(process.env.USAGE_RUNS ?? 300) },
      );
      t.true(windows > 1000, String(windows));
    });
  });

  block('encoding', ({ it }) => {
    it('restores reports of any size from their parts', (t) => {
      const counts = Array.from({ length: 5000 }, (_, index) => ({
        organisation: `organisation-${index}`,
        count: index,
      }));
      const texts = encodeReport({ window: 9, counts });
      t.true(texts.every((text) => Buffer.byteLength(text) < 65_536));
      const rows = texts.map((text, part) => ({ key: `usage/9/${part}`, version: 1, text }));
      const malformed = { key: 'usage/8/0', version: 1, text: '{' };
      t.deepEqual(listReports([malformed, ...rows]), [{ window: 9, counts }]);
      t.deepEqual(listReports(rows.slice(1)), []);
      t.is(DUTY_KEY.UsageThrough, 'usage-through');
    });
  });
});
