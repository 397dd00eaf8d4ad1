import { describe } from '../test/describe.js';
import { createSuspensionDetector } from './suspension-detector.js';

/** Two clocks whose difference the test controls. */
function createClocks() {
  let monotonicMs = 0;
  let stepMs = 0;
  return {
    clock: {
      monotonicMs: () => monotonicMs,
      wallMs: () => 1_700_000_000_000 + monotonicMs + stepMs,
    },
    advance(ms: number) {
      monotonicMs += ms;
    },
    step(ms: number) {
      stepMs += ms;
    },
  };
}

describe('suspension detector', ({ it }) => {
  // Guards against refusing keys until a stepped wall clock is set right: each step may cost only
  // one extra confirmation.
  it('reports a wall clock step in either direction as one suspension', (t) => {
    for (const stepMs of [4000, -4000]) {
      const clocks = createClocks();
      const detector = createSuspensionDetector(clocks.clock);
      clocks.advance(100);
      t.false(detector.checkSuspended());
      clocks.step(stepMs);
      t.true(detector.checkSuspended());
      clocks.advance(100);
      t.false(detector.checkSuspended());
      clocks.step(-stepMs);
      t.true(detector.checkSuspended());
      t.false(detector.checkSuspended());
    }
  });

  it('ignores slow drift', (t) => {
    const clocks = createClocks();
    const detector = createSuspensionDetector(clocks.clock);
    for (let count = 0; count < 1000; count += 1) {
      clocks.advance(100);
      clocks.step(1);
      t.false(detector.checkSuspended());
    }
  });
});
