import { describe } from '../test/describe.js';
import { FAULTS } from './faults.js';
import type { Fault } from './faults.js';
import { runSoak } from './soak-world.js';

const DURATION_MS = 6000;

/** Pairs that met trouble before, and some that cross slices. */
const PAIRS: readonly (readonly Fault[])[] = [
  ['late_writes', 'entry_crash'],
  ['cut', 'platform_down'],
  ['entry_paused', 'lost_answers'],
  ['entry_drains', 'engine_silent'],
  ['operators_race', 'cut_one_way'],
  ['burst', 'bad_frames'],
];

describe('a short soak', ({ it }) => {
  const sets = [...FAULTS.map((fault) => [fault]), ...PAIRS];
  sets.forEach((faults, index) => {
    it(`keeps every promise under ${faults.join(' and ')}`, async (t) => {
      const result = await runSoak({ seed: 1000 + index, faults, durationMs: DURATION_MS });
      t.deepEqual(result.breaches, [], result.story.join('\n'));
      t.true(result.answered > 0);
    });
  });
});
