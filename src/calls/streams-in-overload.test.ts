/** Simulates overload: for some seconds more prompts arrive than the engines can process. */
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { runSimulatedCalls } from '../test/fleet-simulation.js';
import type { SimulatedCall, FleetSimulationOptions } from '../test/fleet-simulation.js';
import { buildSimulatedRoute } from '../test/simulated-routes.js';
import type { SimulatedRoute } from '../test/simulated-routes.js';

const LOOKUP = buildSimulatedRoute('lookup', {
  priority: 0,
  targetMs: 300,
  gapTargetMs: 250,
  timeoutMs: 10_000,
});
const DRAFT = buildSimulatedRoute('draft', {
  priority: 1,
  targetMs: 500,
  gapTargetMs: 400,
  timeoutMs: 5000,
});
const HISTORY = buildSimulatedRoute('history', {
  priority: 2,
  targetMs: 1500,
  gapTargetMs: 1000,
  timeoutMs: 8000,
});

function buildRoutes(
  lookups: number,
  drafts: number,
  histories: number,
): readonly SimulatedRoute[] {
  return [
    {
      route: LOOKUP,
      sharedTokens: 350,
      ownTokens: 1110,
      outputTokens: 170,
      callsPerSecond: lookups,
    },
    { route: DRAFT, sharedTokens: 6300, ownTokens: 2890, outputTokens: 50, callsPerSecond: drafts },
    {
      route: HISTORY,
      sharedTokens: 13_300,
      ownTokens: 3720,
      outputTokens: 120,
      callsPerSecond: histories,
    },
  ];
}

const WINDOW_MS = 5000;

/** Returns the largest fraction of lookups in any window that got no complete response. */
function computeMaxLossFraction(calls: readonly SimulatedCall[], lengthMs: number): number {
  let worst = 0;
  for (let fromMs = 0; fromMs + WINDOW_MS <= lengthMs; fromMs += 1000) {
    const window = calls.filter(
      ({ route, receivedMs }) =>
        route === LOOKUP.name && receivedMs >= fromMs && receivedMs < fromMs + WINDOW_MS,
    );
    const lost = window.filter(({ end }) => end !== 'whole').length;
    worst = Math.max(worst, lost / Math.max(1, window.length));
  }
  return worst;
}

function describeEnds(calls: readonly SimulatedCall[]): string {
  const counts = new Map<string, number>();
  for (const { route, end } of calls) {
    counts.set(`${route} ${end}`, (counts.get(`${route} ${end}`) ?? 0) + 1);
  }
  return [...counts]
    .map(([name, count]) => `${name}: ${count}`)
    .sort()
    .join(', ');
}

const SEEDS = [1, 2, 3];
/** Largest fraction of the urgent calls in a window that may fail. */
const LOSS_FRACTION_MAX = 1 / 12;

/** Runs every seed and checks that no window loses too many lookups. */
async function checkLookups(
  t: ExecutionContext,
  options: Omit<FleetSimulationOptions, 'seed'>,
): Promise<void> {
  const plays = await Promise.all(SEEDS.map((seed) => runSimulatedCalls({ ...options, seed })));
  plays.forEach((calls, index) => {
    const loss = computeMaxLossFraction(calls, options.lengthMs);
    t.true(
      loss <= LOSS_FRACTION_MAX,
      `seed ${SEEDS[index]}: ${loss.toFixed(2)} of 5 s; ${describeEnds(calls)}`,
    );
  });
}

describe('urgent streams in overload', ({ it }) => {
  // Guards against sending so many long prompts to an engine that urgent streams on it slow down until
  // their callers time out.
  it('complete in time during a burst of long prompts', (t) =>
    checkLookups(t, {
      engines: 3,
      slots: 128,
      queueMax: 128,
      routes: buildRoutes(14, 7, 15),
      burst: { fromMs: 5000, toMs: 11_000, factor: 3 },
      lengthMs: 20_000,
    }));

  // Guards against admitting long prompts to full engines just because they waited long, which fills
  // the queues of the engines and rejects urgent calls.
  it('are not displaced by less urgent calls that waited long', (t) =>
    checkLookups(t, {
      engines: 6,
      slots: 16,
      queueMax: 16,
      routes: buildRoutes(12, 7, 30),
      burst: { fromMs: 3000, toMs: 20_000, factor: 2.5 },
      lengthMs: 20_000,
    }));
});
