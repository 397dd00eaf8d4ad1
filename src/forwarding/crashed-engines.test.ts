import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { runSimulatedCalls } from '../test/fleet-simulation.js';
import { buildSimulatedRoute } from '../test/simulated-routes.js';
import type { SimulatedRoute } from '../test/simulated-routes.js';

const SEEDS = [1, 2, 3];
const CRASH_MS = 5000;
/** Time until the last instance hears from the registry that the engines have ended. */
const REGISTRY_DELAY_MS = 5000;
/** First events later than this came after a search for a way, or never. */
const LATE_MS = 500;
const LATE_SHARE_MAX = 1 / 20;

function buildRoute(name: string, priority: number, targetMs: number): SimulatedRoute {
  return {
    route: buildSimulatedRoute(name, { priority, targetMs, gapTargetMs: 250, timeoutMs: 4000 }),
    sharedTokens: 350,
    ownTokens: 1110,
    outputTokens: 50,
    callsPerSecond: 15,
    sharedPrefixes: 30,
  };
}

async function checkLate(t: ExecutionContext, seed: number): Promise<void> {
  const calls = await runSimulatedCalls({
    seed,
    engines: 7,
    slots: 24,
    queueMax: 50,
    instances: 18,
    dataCentres: 5,
    routes: [buildRoute('lookup', 0, 250), buildRoute('draft', 1, 1500)],
    runs: [
      { engine: 0, toMs: CRASH_MS },
      { engine: 1, toMs: CRASH_MS },
    ],
    registryDelayMs: REGISTRY_DELAY_MS,
    carriedDelayMs: 70,
    burst: { fromMs: CRASH_MS, toMs: CRASH_MS, factor: 1 },
    warmUpMs: 2000,
    lengthMs: CRASH_MS + REGISTRY_DELAY_MS,
  });
  const lookups = calls.filter(
    ({ route, receivedMs }) => route === 'lookup' && receivedMs >= CRASH_MS,
  );
  const late = lookups.filter(({ firstEventMs = Infinity }) => firstEventMs > LATE_MS);
  t.true(
    late.length <= lookups.length * LATE_SHARE_MAX,
    `${late.length} of ${lookups.length} lookups late`,
  );
}

describe('engines that crash and stay registered', ({ it }) => {
  for (const seed of SEEDS) {
    // Guards against urgent calls that ask one peer after the other for an engine that nobody reaches.
    it(`do not hold urgent calls while others have room, seed ${seed}`, (t) => checkLate(t, seed));
  }
});
