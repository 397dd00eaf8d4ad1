import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { runFleetSimulation } from '../test/fleet-simulation.js';
import { buildSimulatedRoute } from '../test/simulated-routes.js';
import type { SimulatedRoute } from '../test/simulated-routes.js';

const SEEDS = [1, 2, 3];
/** Largest share of the urgent calls that may be sent to a full engine while another has a free slot. */
const CROWDED_SHARE_MAX = 1 / 12;

const ROUTES: readonly SimulatedRoute[] = [
  {
    route: buildSimulatedRoute('lookup', {
      priority: 0,
      targetMs: 250,
      // Short enough that engines are reserved for these streams.
      gapTargetMs: 80,
      timeoutMs: 8000,
    }),
    sharedTokens: 350,
    ownTokens: 1110,
    outputTokens: 170,
    callsPerSecond: 12,
    sharedPrefixes: 30,
  },
  {
    route: buildSimulatedRoute('draft', {
      priority: 1,
      targetMs: 400,
      gapTargetMs: 250,
      timeoutMs: 4000,
    }),
    sharedTokens: 6300,
    ownTokens: 2890,
    outputTokens: 50,
    callsPerSecond: 9,
    sharedPrefixes: 30,
  },
  {
    route: buildSimulatedRoute('history', {
      priority: 2,
      targetMs: 1500,
      gapTargetMs: 600,
      timeoutMs: 8000,
    }),
    sharedTokens: 13_300,
    ownTokens: 3720,
    outputTokens: 120,
    callsPerSecond: 30,
    sharedPrefixes: 30,
  },
];

async function checkCrowding(t: ExecutionContext, seed: number): Promise<void> {
  const { calls, crowdedAttempts } = await runFleetSimulation({
    seed,
    engines: 7,
    slots: 24,
    queueMax: 50,
    instances: 18,
    dataCentres: 5,
    routes: ROUTES,
    burst: { fromMs: 6000, toMs: 11_000, factor: 4, routes: ['lookup'] },
    runs: [
      { engine: 0, toMs: 6000 },
      { engine: 1, toMs: 7000 },
    ],
    registryDelayMs: 800,
    warmUpMs: 2000,
    lengthMs: 14_000,
    isStoppedWhenDone: true,
  });
  const lookups = calls.filter(({ route }) => route === 'lookup').length;
  const crowded = crowdedAttempts.get('lookup') ?? 0;
  t.true(
    crowded <= lookups * CROWDED_SHARE_MAX,
    `seed ${seed}: ${crowded} of ${lookups} urgent calls went to a full engine while another had a free slot`,
  );
}

describe('a burst of urgent calls in a pool that shrinks', ({ it }) => {
  // Guards against urgent calls that queue at the reserved engines while less urgent ones begin at the others.
  it('does not queue for full engines while others have free slots', async (t) => {
    await Promise.all(SEEDS.map((seed) => checkCrowding(t, seed)));
  });
});
