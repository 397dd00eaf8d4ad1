import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { createFleetTime } from './fleet-time.js';
import { createUsageLedger } from './usage-ledger.js';
import { createUsageMeter } from './usage-meter.js';
import type { UsageUpdate } from './usage-meter.js';

const WINDOW_MS = 5000;

function createHarness(instance: string, incarnation = 1) {
  const time = createFleetTime();
  const meter = createUsageMeter({
    source: { instance, incarnation },
    windowMs: WINDOW_MS,
    time,
    countInstances: () => 3,
  });
  const start = (): void => {
    time.recordSourceTime(0, 0);
    time.setEpoch(0);
  };
  return { meter, start };
}

/** Collects the updates sent in a time range. */
function listUpdates(
  meter: ReturnType<typeof createHarness>['meter'],
  fromMs: number,
  toMs: number,
) {
  const updates: UsageUpdate[] = [];
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 100) {
    const update = meter.advance(nowMs);
    if (update !== undefined) updates.push(update);
  }
  return updates;
}

describe('usage meter', ({ it }) => {
  // Guards against usage that is counted twice or lost because updates are duplicated, delayed or
  // reordered.
  it('merges repeated, delayed and reordered updates to the same sums', (t) => {
    const call = fc.record({
      source: fc.constantFrom('a|1', 'a|2', 'b|1'),
      window: fc.integer({ min: 1, max: 3 }),
      organisation: fc.constantFrom('x', 'y'),
    });
    fc.assert(
      fc.property(fc.array(call), fc.infiniteStream(fc.nat()), (calls, draws) => {
        const expected = createUsageLedger();
        const updateMessages = calls.map(({ source, window, organisation }) => {
          expected.add(source, window, organisation);
          return { source, windows: expected.listBySource(source) };
        });
        const merged = createUsageLedger();
        const shuffled = [...updateMessages, ...updateMessages]
          .map((update) => ({ message: update, order: draws.next().value }))
          .sort((a, b) => a.order - b.order);
        for (const { message: update } of shuffled) {
          for (const each of update.windows) merged.merge(update.source, each);
        }
        for (const window of [1, 2, 3]) t.deepEqual(merged.sum(window), expected.sum(window));
      }),
    );
  });

  it('sends each changed count three times with its window', (t) => {
    const { meter, start } = createHarness('a');
    start();
    meter.record('x', 4990);
    meter.record('x', 5010);
    const updates = listUpdates(meter, 5100, 8000);
    t.is(updates.filter(({ windows }) => windows.length > 0).length, 3);
    t.deepEqual(updates[0]?.windows, [
      { window: 0, counts: [{ organisation: 'x', count: 1 }] },
      { window: 1, counts: [{ organisation: 'x', count: 1 }] },
    ]);
  });

  // Guards against sending unchanged counts again.
  it('sends only the counts that changed', (t) => {
    const { meter, start } = createHarness('a');
    start();
    meter.record('x', 10);
    listUpdates(meter, 100, 4000);
    meter.record('y', 4100);
    t.deepEqual(listUpdates(meter, 4200, 4700)[0]?.windows, [
      { window: 0, counts: [{ organisation: 'y', count: 1 }] },
    ]);
  });

  // Guards against incomplete reports by an aggregator that started after earlier counts were sent.
  it('sends all counts again for a new aggregator', (t) => {
    const { meter, start } = createHarness('a');
    start();
    meter.record('x', 10);
    meter.record('y', 5010);
    listUpdates(meter, 5100, 9000);
    meter.postAll();
    const aggregator = createHarness('b').meter;
    for (const update of listUpdates(meter, 9100, 10_000)) aggregator.merge(update, 10_000);
    t.deepEqual(aggregator.sum(0), [{ organisation: 'x', count: 1 }]);
    t.deepEqual(aggregator.sum(1), [{ organisation: 'y', count: 1 }]);
  });

  it('buffers calls until fleet time is known', (t) => {
    const { meter, start } = createHarness('a');
    meter.record('x', 10);
    t.is(meter.advance(20), undefined);
    start();
    t.deepEqual(meter.advance(30)?.windows, [
      { window: 0, counts: [{ organisation: 'x', count: 1 }] },
    ]);
  });

  it('keeps the counts of an instance that restarted', (t) => {
    const aggregator = createHarness('a').meter;
    const first = createHarness('b', 1);
    const second = createHarness('b', 2);
    for (const { meter, start } of [first, second]) {
      start();
      meter.record('x', 10);
      for (const update of listUpdates(meter, 100, 2000)) aggregator.merge(update, 2000);
    }
    t.deepEqual(aggregator.sum(0), [{ organisation: 'x', count: 2 }]);
  });

  it('is complete once all active sources have passed the given time', (t) => {
    const aggregator = createHarness('a').meter;
    const windows: UsageUpdate['windows'] = [];
    const source = { instance: 'b', incarnation: 1 };
    aggregator.merge({ source, watermarkMs: 4900, windows }, 4900);
    t.false(aggregator.isComplete(5000, 4950));
    aggregator.merge({ source, watermarkMs: 5100, windows }, 5100);
    t.true(aggregator.isComplete(5000, 5150));
    t.false(aggregator.isComplete(10_000, 10_000));
    // A silent instance is ignored after a timeout.
    t.true(aggregator.isComplete(10_000, 20_000));
  });
});
