/** Simulates whole fleets and checks when a change of the configuration is in force. */
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { runConfigurationSimulation } from '../test/configuration-simulation.js';
import type { ConfigurationSimulationOptions } from '../test/configuration-simulation.js';
import { SOURCE_LINK } from '../test/simulated-source.js';

/** Time after which a confirmed change must be in force wherever it can be known. */
const IN_FORCE_MS = 3000;
/** Bursts of changes, as when several keys are revoked one after the other. */
const CHANGES_MS = [100, 200, 300, 9000, 9100, 9200];

const FLEET: Omit<ConfigurationSimulationOptions, 'seed'> = {
  instances: 66,
  dataCentres: 5,
  changesMs: CHANGES_MS,
  inForceMs: IN_FORCE_MS,
  lost: { share: 0, link: SOURCE_LINK.Open },
  peerResponseMaxMs: 900,
};

async function checkInForce(
  t: ExecutionContext,
  seeds: readonly number[],
  options: Partial<ConfigurationSimulationOptions>,
): Promise<void> {
  const results = await Promise.all(
    seeds.map((seed) => runConfigurationSimulation({ ...FLEET, ...options, seed })),
  );
  results.forEach((late, index) => {
    const [first] = late.filter(({ isLost }) => !isLost);
    const what = `seed ${seeds[index]}: ${JSON.stringify(first)}`;
    t.is(first, undefined, what);
  });
}

describe('a change of the configuration', ({ it }) => {
  // Guards against instances that stay on an older version which peers sent them as the newest.
  it('is in force in time while busy peers answer out of order', (t) =>
    checkInForce(t, [3, 4, 5, 6], {}));

  // Guards against instances that follow watchers which the source no longer answers.
  it('is in force in time if the source falls silent to all watchers of a small fleet', (t) =>
    checkInForce(t, [1, 2, 3, 4, 5, 6, 7, 8], {
      instances: 7,
      dataCentres: 3,
      changesMs: [50, 400, 800],
      inForceMs: 2000,
      lost: { share: 0, link: SOURCE_LINK.Silent, areWatchers: true },
      peerResponseMaxMs: 50,
    }));
});
