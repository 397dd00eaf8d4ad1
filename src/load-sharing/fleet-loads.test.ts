/** Simulates whole fleets and checks how well instances know the load of engines. */
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { runFleetSimulation } from '../test/fleet-simulation.js';
import type { SimulatedCall } from '../test/fleet-simulation.js';
import { buildMixedRoutes } from '../test/simulated-routes.js';

const ENGINES = 20;
const SLOTS = 16;
const ROUTES = buildMixedRoutes({ engines: ENGINES, lookupGapTargetMs: 150, sharedPrefixes: 100 });
const LOOKUP = 'lookup';
/**
 * Maximum mean error of the load known to an instance, in calls: the slots left to more urgent
 * calls.
 */
const LOAD_ERROR_MAX = SLOTS / 8;
/** Share of the lookups that must meet their target during a burst. */
const IN_TIME_MIN = 0.95;

function computeInTime(calls: readonly SimulatedCall[]): number {
  const lookups = calls.filter(({ route }) => route === LOOKUP);
  return lookups.filter(({ isInTime }) => isInTime).length / lookups.length;
}

async function checkFleetLoads(
  t: ExecutionContext,
  instances: number,
  dataCentres: number,
): Promise<void> {
  const {
    calls,
    meanLoadError: meanBeliefError,
    datagramsPerSecond,
  } = await runFleetSimulation({
    seed: 1,
    engines: ENGINES,
    slots: SLOTS,
    queueMax: 2 * SLOTS,
    routes: ROUTES,
    burst: { fromMs: 1000, toMs: 4000, factor: 2 },
    lengthMs: 4000,
    instances,
    dataCentres,
    warmUpMs: 8000,
  });
  const inTime = computeInTime(calls);
  t.true(
    meanBeliefError <= LOAD_ERROR_MAX,
    `mean load error of ${meanBeliefError.toFixed(2)} calls`,
  );
  t.true(inTime >= IN_TIME_MIN, `${inTime.toFixed(3)} of the lookups in time`);
  t.log(
    `${instances} instances: mean load error of ${meanBeliefError.toFixed(2)} calls, ${inTime.toFixed(3)} of the lookups in time, ${datagramsPerSecond.toFixed(1)} datagrams a second`,
  );
}

describe('loads of a fleet', ({ it }) => {
  // Guards against outdated loads, which send lookups to engines that are full while others have
  // room.
  it('have a mean error of at most an eighth of the slots with 70 instances', (t) =>
    checkFleetLoads(t, 70, 3));

  it('have a mean error of at most an eighth of the slots with 195 instances', (t) =>
    checkFleetLoads(t, 195, 5));
});
