import { describe } from '../test/describe.js';
import { DEFAULT_WATCH_PACE, computeWatchPace } from './watch-pace.js';

describe('the pace of watchers', ({ it }) => {
  // Guards against a fleet that looks for a change only after the time in which it must be in force.
  it('leaves time to read a change after its watchers are lost', (t) => {
    for (const inForceMs of [1500, 2000, 2500])
      t.true(computeWatchPace(inForceMs).staleAfterMs <= inForceMs - 350);
    t.deepEqual(computeWatchPace(2000), {
      leadingWaitMs: 950,
      recentMaxMs: 1650,
      staleAfterMs: 1650,
    });
  });

  it('is bounded whatever a deployment allows', (t) => {
    t.deepEqual(computeWatchPace(3000), DEFAULT_WATCH_PACE);
    t.deepEqual(DEFAULT_WATCH_PACE, { leadingWaitMs: 1500, recentMaxMs: 2200, staleAfterMs: 2400 });
    t.true(computeWatchPace(1).leadingWaitMs >= 200);
  });
});
