/** Simulates urgent streams that share engines with long prompts, well below the engines' capacity. */
import { describe } from '../test/describe.js';
import { runSimulatedCalls } from '../test/fleet-simulation.js';
import type { SimulatedCall } from '../test/fleet-simulation.js';
import { buildMixedRoutes } from '../test/simulated-routes.js';

const ENGINES = 40;
const SLOTS = 24;
const ROUTES = buildMixedRoutes({
  engines: ENGINES,
  lookupGapTargetMs: 110,
  sharedPrefixes: 10 * ENGINES,
});
/** Fraction of the calls of each route that must meet its targets. */
const IN_TIME_FRACTION_MIN = 0.9;

function computeInTimeFraction(calls: readonly SimulatedCall[], name: string): number {
  const ofRoute = calls.filter(({ route }) => route === name);
  return ofRoute.filter(({ isInTime }) => isInTime).length / ofRoute.length;
}

describe('urgent streams beside long prompts', ({ it }) => {
  // Guards against pauses in a stream beyond its target while its engine reads a long prompt in chunks,
  // and against delaying long prompts to avoid them.
  it('meet their targets, and so do the long prompts', async (t) => {
    const calls = await runSimulatedCalls({
      seed: 1,
      engines: ENGINES,
      slots: SLOTS,
      queueMax: 2 * SLOTS,
      routes: ROUTES,
      burst: { fromMs: 2000, toMs: 5000, factor: 1.5 },
      lengthMs: 6000,
    });
    for (const { route } of ROUTES) {
      const inTime = computeInTimeFraction(calls, route.name);
      t.true(inTime >= IN_TIME_FRACTION_MIN, `${route.name}: ${inTime.toFixed(2)} in time`);
      t.log(`${route.name}: ${inTime.toFixed(3)} in time`);
    }
  });
});
