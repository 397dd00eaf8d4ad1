/** Simulates fleets whose endpoints say in their responses that they are leaving or want rest. */
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { runLimitSimulation } from '../test/limit-simulation.js';
import type { LimitSimulationOptions, LimitSimulationResult } from '../test/limit-simulation.js';
import { buildMixedRoutes } from '../test/simulated-routes.js';

const ENDPOINTS = 6;
const REST_REQUESTS_MAX = 2;

const FLEET: Omit<LimitSimulationOptions, 'seed'> = {
  instances: 7,
  dataCentres: 3,
  endpoints: ENDPOINTS,
  routes: buildMixedRoutes({ engines: ENDPOINTS, lookupGapTargetMs: 250, sharedPrefixes: 12 }),
  limits: [],
  lengthMs: 14_000,
};

/** Sizes of fleets; at some, the same run without messages between instances is compared. */
const FLEETS = [
  { instances: 7, hasComparison: true },
  { instances: 70, hasComparison: true },
  { instances: 195, hasComparison: false },
  { instances: 410, hasComparison: false },
] as const;

const RESTING = { fromMs: 2000, untilMs: 8000, restMs: 5000 };
const LEAVING = { fromMs: 2000, untilMs: Infinity, restMs: undefined };

function countServed({ calls }: LimitSimulationResult): number {
  return calls.filter(({ end }) => end === 'whole').length;
}

function printResult(t: ExecutionContext, name: string, result: LimitSimulationResult): void {
  const { notices, calls, datagrams } = result;
  t.log(
    `${name}: ${countServed(result)} of ${calls.length} calls served, ${notices.countRejected()} turned away, ` +
      `${notices.countSentToLeaving()} sent to leaving endpoints, ${datagrams} datagrams`,
  );
}

describe('endpoints that are leaving or want rest', ({ describe: block }) => {
  for (const { instances, hasComparison } of FLEETS) {
    block(`in a fleet of ${instances} instances`, ({ it }) => {
      const endpoints = instances > 7 ? 42 : ENDPOINTS;
      const options: LimitSimulationOptions = {
        ...FLEET,
        seed: instances,
        instances,
        endpoints,
        dataCentres: instances > 7 ? 5 : 3,
        routes: buildMixedRoutes({
          engines: endpoints,
          lookupGapTargetMs: 250,
          sharedPrefixes: 12,
        }),
        lengthMs: 5000,
        notices: [
          { endpoint: 1, ...LEAVING, fromMs: 500 },
          { endpoint: 3, ...RESTING, fromMs: 500 },
          { endpoint: 5, ...RESTING, fromMs: 500 },
        ],
      };

      // Guards against requests that a notice forbids, at any size.
      it('get no requests that they forbid', async (t) => {
        const result = await runLimitSimulation(options);
        printResult(t, 'shared', result);
        t.true(result.notices.countForbidden() <= REST_REQUESTS_MAX);
        t.true(countServed(result) >= 0.95 * result.calls.length);
        if (!hasComparison) return;
        // Guards against instances that each learn by a lost call what another already knows.
        const alone = await runLimitSimulation({ ...options, areNoticesShared: false });
        printResult(t, 'alone', alone);
        t.true(alone.notices.countForbidden() <= REST_REQUESTS_MAX);
        t.true(result.notices.countRejected() <= alone.notices.countRejected());
        t.true(result.notices.countSentToLeaving() <= alone.notices.countSentToLeaving());
      });
    });
  }

  block('in a pool without any other', ({ it }) => {
    const notices = Array.from({ length: ENDPOINTS }, (_, endpoint) => ({ endpoint, ...RESTING }));

    // Guards against calls that are sent in the rest, or are lost at its end.
    it('get no requests in their rest and serve again after it', async (t) => {
      const result = await runLimitSimulation({ ...FLEET, seed: 8, notices });
      printResult(t, 'whole pool', result);
      t.true(result.notices.countForbidden() <= REST_REQUESTS_MAX);
      const early = result.calls.filter(({ receivedMs }) => receivedMs > 3000 && receivedMs < 6000);
      const refused = early.filter(({ end }) => end === 'refused');
      t.true(refused.length > 0);
      t.true(refused.every(({ retryAfterMs = 0 }) => retryAfterMs > 0));
      t.is(early.filter(({ end }) => end === 'failed').length, 0);
      const late = result.calls.filter(({ receivedMs }) => receivedMs > 13_000);
      t.true(late.filter(({ end }) => end === 'whole').length >= 0.95 * late.length);
    });
  });
});
