import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { createConfigurationKnowledge } from './configuration-knowledge.js';
import { createSourceClock } from './source-clock.js';
import type { SourceClock } from './source-clock.js';
import { createSuspensionDetector } from './suspension-detector.js';

const buildContent = (configuration: string) => ({
  configuration,
  row: { key: 'config', value: configuration, revision: 1 },
});

describe('configuration knowledge', ({ it }) => {
  // Guards against accepting a removed key again after a stale read of an older version.
  it('ignores an older version', (t) => {
    const knowledge = createConfigurationKnowledge<string>();
    t.is(
      knowledge.record({ version: 9, content: buildContent('nine'), knownAtMs: 100 }),
      'applied',
    );
    t.is(knowledge.record({ version: 7, content: buildContent('seven'), knownAtMs: 500 }), 'stale');
    t.is(knowledge.get(), 'nine');
    t.is(knowledge.getKnownAt(), 100);
  });

  // Guards against refusing calls after a change until the next confirmation.
  it('gives a version of unknown time at least the time of the version before', (t) => {
    const knowledge = createConfigurationKnowledge<string>();
    knowledge.record({ version: 7, content: buildContent('seven'), knownAtMs: 100 });
    knowledge.record({ version: 9, content: buildContent('nine'), knownAtMs: -Infinity });
    t.is(knowledge.getKnownAt(), 100);
  });

  it('keeps the latest confirmation and reports a newer version without content as missing', (t) => {
    const knowledge = createConfigurationKnowledge<string>();
    knowledge.record({ version: 9, content: buildContent('nine'), knownAtMs: 100 });
    t.is(knowledge.record({ version: 9, content: undefined, knownAtMs: 400 }), 'confirmed');
    t.is(knowledge.record({ version: 9, content: undefined, knownAtMs: 300 }), 'confirmed');
    t.is(knowledge.getKnownAt(), 400);
    t.is(knowledge.record({ version: 12, content: undefined, knownAtMs: 450 }), 'missing');
    t.is(knowledge.getVersion(), 9);
  });
});

describe('source clock', ({ it }) => {
  // Guards against accepting a removed key for too long because a slow response is dated by its
  // arrival.
  it('never underestimates the age of a response', (t) => {
    const clock = createSourceClock();
    clock.record({ sourceNowMs: 1000, sentMs: 50 });
    t.is(clock.computeAge(1000, 50), 0);
    // Answered at 3050 on this clock and received much later.
    clock.record({ sourceNowMs: 4000, sentMs: 60 });
    t.is(clock.computeAge(4000, 5000), 1950);
  });

  // Guards against trusting old data after a suspension, in which the process's clock stood still
  // while the source's advanced.
  it('reports no age after a reset until the next sample', (t) => {
    const clock = createSourceClock();
    clock.record({ sourceNowMs: 1000, sentMs: 50 });
    clock.reset();
    t.is(clock.computeAge(1000, 51), Infinity);
    t.is(clock.computeSourceNow(51), undefined);
    clock.record({ sourceNowMs: 9000, sentMs: 60 });
    t.is(clock.computeAge(1000, 60), 8000);
  });

  // Guards against underestimating the age of data when instances learn the source's clock from
  // each other over several slow hops.
  it('never underestimates an age through any number of peers', (t) => {
    const delay = fc.integer({ min: 0, max: 3000 });
    const hop = fc.record({
      offsetMs: fc.integer({ min: -10_000, max: 10_000 }),
      there: delay,
      back: delay,
    });
    fc.assert(
      fc.property(fc.array(hop, { minLength: 1, maxLength: 6 }), (hops) => {
        // True time is the source's; each instance's clock is ahead of it by its own offset.
        const time = { trueMs: 50_000 };
        let clock: SourceClock | undefined;
        let ownOffsetMs = 0;
        for (const { offsetMs, there, back } of hops) {
          const sentMs = time.trueMs + offsetMs;
          time.trueMs += there;
          const sourceNowMs = clock?.computeSourceNow(time.trueMs + ownOffsetMs) ?? time.trueMs;
          time.trueMs += back;
          clock = createSourceClock();
          clock.record({ sourceNowMs, sentMs });
          ownOffsetMs = offsetMs;
          t.true(clock.computeAge(time.trueMs - 100, time.trueMs + offsetMs) >= 100);
        }
      }),
    );
  });
});

describe('suspension detector', ({ it }) => {
  // During a suspension the monotonic clock stands still and the wall clock advances.
  it('detects that the monotonic clock stood still', (t) => {
    let wallMs = 10_000;
    let monotonicMs = 0;
    const detector = createSuspensionDetector({
      wallMs: () => wallMs,
      monotonicMs: () => monotonicMs,
    });
    wallMs += 1000;
    monotonicMs += 990;
    t.false(detector.checkSuspended());
    wallMs += 4000;
    t.true(detector.checkSuspended());
    t.false(detector.checkSuspended());
  });
});
