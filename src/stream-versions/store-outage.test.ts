import { describe } from '../test/describe.js';
import { createStreamFleet } from '../test/stream-fleet.js';
import { createRandom } from '../utils/random.js';

const SETTLED_MS = 20_000;
const OUTAGES = 20;

/** Begins a stream right after the store went away, and takes it up elsewhere. */
function isGoneOn(instances: number, seed: number): boolean {
  const fleet = createStreamFleet({
    instances,
    random: createRandom(seed),
    lossProbability: 0,
  });
  fleet.setVersions(['v1']);
  fleet.runFor(SETTLED_MS);
  fleet.setStoreAway(true);
  const stream = fleet.start('v1');
  fleet.runFor(50);
  return fleet.resume(stream).version === 'v1';
}

describe('streams that break in the first second of a store outage', ({ it }) => {
  for (const instances of [7, 70, 195, 410]) {
    // Guards against streams that nobody was told of, since the views still count as confirmed.
    it(`go on if their instance lives, at ${instances}`, (t) => {
      const goneOn = Array.from({ length: OUTAGES }, (_, seed) => isGoneOn(instances, seed));
      const count = goneOn.filter(Boolean).length;
      t.true(count >= OUTAGES * 0.9, `${count} of ${OUTAGES} went on`);
    });
  }
});
