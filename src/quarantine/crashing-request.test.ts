/** Simulates requests that crash every endpoint which begins to run them. */
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { runCrashSimulation } from '../test/crash-simulation.js';
import type { CrashSimulationOptions, CrashSimulationResult } from '../test/crash-simulation.js';
import { buildMixedRoutes, buildSimulatedRoute } from '../test/simulated-routes.js';
import type { SimulatedRoute } from '../test/simulated-routes.js';
import { CALL_KIND } from '../types/traffic.js';
import type { CallKind } from '../types/traffic.js';

const ENGINES = 6;
const LENGTH_MS = 30_000;
const SEEDS = [1, 2, 3];
/** Crashes after which a request must be condemned. */
const CRASHES_MAX = 3;
/** Time within which every connected instance must know of a crash. */
const NOTICE_MAX_MS = 3000;
/** Sends that are tolerated after that time. */
const LATE_SENDS_MAX = 3;
/** Only condemned requests get a longer retry delay than this. */
const CONDEMNED_RETRY_MIN_MS = 60_000;

const ROUTES = buildMixedRoutes({ engines: ENGINES, lookupGapTargetMs: 250, sharedPrefixes: 12 });

function buildCulprit(kind: CallKind): SimulatedRoute {
  return {
    route: buildSimulatedRoute('culprit', { kind, priority: 2, targetMs: 1500, gapTargetMs: 1000 }),
    sharedTokens: 13_300,
    ownTokens: 3720,
    outputTokens: 120,
    callsPerSecond: 0,
  };
}

/** Times at which a client sends its copies. */
function listRepeatTimes(periodMs: number, copies: number): number[] {
  const moments: number[] = [];
  for (let atMs = 1000; atMs < LENGTH_MS; atMs += periodMs) {
    for (let copy = 0; copy < copies; copy += 1) moments.push(atMs);
  }
  return moments;
}

interface Repeats {
  readonly kind: CallKind;
  readonly periodMs: number;
  readonly copies: number;
  readonly instances: number;
  readonly dataCentres: number;
}

function buildOptions({
  kind,
  periodMs,
  copies,
  instances,
  dataCentres,
}: Repeats): Omit<CrashSimulationOptions, 'seed'> {
  return {
    instances,
    engines: ENGINES,
    dataCentres,
    routes: ROUTES,
    repeats: [
      {
        content: 'culprit',
        simulatedRoute: buildCulprit(kind),
        isCulprit: true,
        atMs: listRepeatTimes(periodMs, copies),
      },
    ],
    lengthMs: LENGTH_MS,
  };
}

/** Counts sends of the culprit after every connected instance must know of the third crash. */
function countLateSends({ sends, crashes }: CrashSimulationResult): number {
  const third = crashes[CRASHES_MAX - 1];
  if (third === undefined) return 0;
  return sends.filter(({ atMs }) => atMs > third.atMs + NOTICE_MAX_MS).length;
}

async function checkLateSends(t: ExecutionContext, repeats: Repeats): Promise<void> {
  const options = buildOptions(repeats);
  const plays = await Promise.all(SEEDS.map((seed) => runCrashSimulation({ ...options, seed })));
  plays.forEach((play, index) => {
    const late = countLateSends(play);
    const message = `seed ${SEEDS[index]}: ${late} late sends, ${play.crashes.length} endpoints crashed`;
    t.true(play.crashes.length >= CRASHES_MAX, message);
    t.true(late <= LATE_SENDS_MAX, message);
  });
}

/** Counts calls with other contents that were refused as condemned. */
function countInnocentRefusals({ calls }: CrashSimulationResult): number {
  return calls.filter(
    ({ content, retryAfterMs = 0 }) =>
      content !== 'culprit' && retryAfterMs > CONDEMNED_RETRY_MIN_MS,
  ).length;
}

describe('a request that crashes every endpoint running it', ({ it }) => {
  // Guards against counting a crash only against the endpoint and the call, so that the same
  // content under a new id crashes the next endpoint.
  it('is no longer sent when it is repeated under new ids', (t) =>
    checkLateSends(t, {
      kind: CALL_KIND.Stream,
      periodMs: 1800,
      copies: 1,
      instances: 7,
      dataCentres: 3,
    }));

  // Guards against the instance itself retrying a resumable request on one endpoint after another.
  it('is not retried on one endpoint after another', (t) =>
    checkLateSends(t, {
      kind: CALL_KIND.ResumableStream,
      periodMs: 1800,
      copies: 1,
      instances: 7,
      dataCentres: 3,
    }));

  // Guards against each instance running its own copy before it can hear of the others: one lease
  // in the fleet must decide.
  it('runs only once more when copies reach every instance at once', (t) =>
    checkLateSends(t, {
      kind: CALL_KIND.Stream,
      periodMs: 5000,
      copies: 7,
      instances: 7,
      dataCentres: 3,
    }));

  // Propagation takes longest in a large fleet, where reports pass through several hops.
  it('is known to 70 instances in time when 20 copies arrive at once', async (t) => {
    const options = buildOptions({
      kind: CALL_KIND.Stream,
      periodMs: 3000,
      copies: 20,
      instances: 70,
      dataCentres: 3,
    });
    const play = await runCrashSimulation({ ...options, seed: 1, engines: 42, lengthMs: 15_000 });
    t.true(countLateSends(play) <= LATE_SENDS_MAX, `${countLateSends(play)} late sends`);
  });
});

describe('requests beside one that crashes endpoints', ({ it }) => {
  // Guards against condemning a popular request, which runs on most endpoints at any time and so is
  // involved in most crashes.
  it('are not refused, however often its crashes interrupt them', async (t) => {
    const moments = listRepeatTimes(50, 1);
    const popular = {
      content: 'popular',
      simulatedRoute: ROUTES[0] as SimulatedRoute,
      isCulprit: false,
    };
    const crashes = [5, 9, 13, 17, 21].flatMap((second) =>
      [0, 1, 2].map((engine) => ({ atMs: second * 1000, engine })),
    );
    const options = buildOptions({
      kind: CALL_KIND.Stream,
      periodMs: 1800,
      copies: 1,
      instances: 7,
      dataCentres: 3,
    });
    const repeats = [...options.repeats, { ...popular, atMs: moments }];
    const plays = await Promise.all(
      SEEDS.map((seed) => runCrashSimulation({ ...options, repeats, crashes, seed })),
    );
    plays.forEach((play) => t.is(countInnocentRefusals(play), 0));
  });
});
