import { describe } from '../test/describe.js';
import { createConfigurationKnowledge } from './configuration-knowledge.js';
import { createSourceClock } from './source-clock.js';
import { createSuspensionDetector } from './suspension-detector.js';

describe('knowledge of the configuration', ({ it }) => {
  // A read that lags seconds behind brings version 7 after version 9 took a key away: applying it
  // would let the key in again.
  it('never goes back to an older version', (t) => {
    const knowledge = createConfigurationKnowledge<string>();
    t.is(knowledge.record({ version: 9, configuration: 'nine', knownAtMs: 100 }), 'applied');
    t.is(knowledge.record({ version: 7, configuration: 'seven', knownAtMs: 500 }), 'stale');
    t.is(knowledge.get(), 'nine');
    t.is(knowledge.computeAge(600), 500);
  });

  it('is as old as the last confirmation, and asks for what it only heard of', (t) => {
    const knowledge = createConfigurationKnowledge<string>();
    knowledge.record({ version: 9, configuration: 'nine', knownAtMs: 100 });
    t.is(knowledge.record({ version: 9, configuration: undefined, knownAtMs: 400 }), 'confirmed');
    t.is(knowledge.computeAge(500), 100);
    t.is(knowledge.record({ version: 12, configuration: undefined, knownAtMs: 450 }), 'missing');
    t.is(knowledge.getVersion(), 9);
  });

  it('is distrusted whole until it is confirmed anew', (t) => {
    const knowledge = createConfigurationKnowledge<string>();
    knowledge.record({ version: 9, configuration: 'nine', knownAtMs: 100 });
    knowledge.removeConfirmations();
    t.is(knowledge.computeAge(101), Infinity);
  });
});

describe('source clock', ({ it }) => {
  // A call hangs for seconds on a slow store; taking its answer for as young as its arrival would
  // keep a key alive that was taken away meanwhile.
  it('never takes an answer for younger than it is', (t) => {
    const clock = createSourceClock();
    t.is(clock.record({ sourceNowMs: 1000, sentMs: 50 }), 50);
    // Answered at 3050 of this clock, arrived long after.
    t.is(clock.record({ sourceNowMs: 4000, sentMs: 60 }), 3050);
    clock.reset();
    t.is(clock.record({ sourceNowMs: 9000, sentMs: 60 }), 60);
  });
});

describe('suspension detector', ({ it }) => {
  // A machine is suspended for seconds: the monotonic clock stands still, the time of day does not.
  it('notices that the monotonic clock stood still', (t) => {
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
