/** Simulates fleets whose endpoints name rate limits for all instances together. */
import type { ExecutionContext } from 'ava';
import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { runLimitSimulation } from '../test/limit-simulation.js';
import type { LimitSimulationOptions, LimitSimulationResult } from '../test/limit-simulation.js';
import { runSendLimitsSimulation } from '../test/send-limits-simulation.js';
import { buildMixedRoutes } from '../test/simulated-routes.js';

const ENDPOINTS = 6;

const FLEET: Omit<LimitSimulationOptions, 'seed'> = {
  instances: 7,
  dataCentres: 3,
  endpoints: ENDPOINTS,
  routes: buildMixedRoutes({ engines: ENDPOINTS, lookupGapTargetMs: 250, sharedPrefixes: 12 }),
  limits: [
    { endpoint: 1, perSecond: 1.1, fromMs: 3000 },
    { endpoint: 4, perSecond: 1.5, fromMs: 3000 },
  ],
  lengthMs: 16_000,
};

function assertWithinLimits(t: ExecutionContext, { spans }: LimitSimulationResult): void {
  for (const { endpoint, requests, allowed } of spans) {
    const what = `endpoint ${endpoint}: ${requests} requests in 4 s, ${allowed} allowed`;
    t.true(requests <= allowed, what);
    t.log(what);
  }
}

describe('an endpoint that names a rate limit', ({ it }) => {
  // Guards against instances that each send as if the limit were not there, or their own.
  it('gets no more from all instances together than it allows', async (t) => {
    assertWithinLimits(t, await runLimitSimulation({ ...FLEET, seed: 1 }));
  });

  // Guards against one request from each of many instances, and holders that are gone.
  it('gets no more than it allows in a fleet of 195 instances, while its holders are killed', async (t) => {
    const result = await runLimitSimulation({
      ...FLEET,
      seed: 2,
      instances: 195,
      dataCentres: 5,
      endpoints: 42,
      routes: buildMixedRoutes({ engines: 42, lookupGapTargetMs: 250, sharedPrefixes: 100 }),
      lengthMs: 12_000,
      loss: 0.05,
      kills: Array.from({ length: 40 }, (_, instance) => ({ instance: instance * 4, atMs: 6000 })),
    });
    assertWithinLimits(t, result);
    t.true(result.countArrivals(1, 6000, 12_000) > 0, 'the killed holder has a successor');
  });

  // Guards against an endpoint that gets nothing any more and so can never lift its limit.
  it('gets its share again after it has lifted its limit', async (t) => {
    const limits = [{ endpoint: 1, perSecond: 1, fromMs: 2000, untilMs: 8000 }];
    const result = await runLimitSimulation({ ...FLEET, seed: 3, limits, lengthMs: 20_000 });
    assertWithinLimits(t, result);
    const before = result.countArrivals(1, 0, 2000) / 2;
    const after = result.countArrivals(1, 14_000, 20_000) / 6;
    t.true(after >= before / 2, `${before} requests a second before, ${after} after`);
  });

  // Guards against calls that are lost because their pool has nothing but a limited endpoint.
  it('serves the most urgent calls and refuses the others if its pool has no other', async (t) => {
    const result = await runLimitSimulation({
      ...FLEET,
      seed: 4,
      endpoints: 1,
      limits: [{ endpoint: 0, perSecond: 4, fromMs: 0 }],
      lengthMs: 20_000,
    });
    assertWithinLimits(t, result);
    const late = result.calls.filter(({ receivedMs }) => receivedMs > 3000);
    const served = late.filter(({ end }) => end === 'whole');
    const countRoute = (route: string): number =>
      served.filter((call) => call.route === route).length;
    t.true(served.length >= 0.6 * 4 * 17, `${served.length} calls served`);
    t.true(countRoute('lookup') > countRoute('history'), 'the most urgent come first');
    const refused = late.filter(({ end }) => end === 'refused');
    t.is(late.length, served.length + refused.length, 'every other call is known not to have run');
    t.true(refused.every(({ retryAfterMs = 0 }) => retryAfterMs >= 500));
  });
});

describe('send limits of many instances', ({ it }) => {
  // Guards against shares that add up to more than the limit at some size, rate, loss or cut.
  it('keep every span of four seconds within the limit', (t) => {
    fc.assert(
      fc.property(
        fc.record({
          seed: fc.integer({ min: 1, max: 1000 }),
          instances: fc.constantFrom(7, 70, 195, 410),
          perSecond: fc.double({ min: 0.2, max: 50, noNaN: true }),
          limitedEndpoints: fc.integer({ min: 1, max: 3 }),
          unlimitedEndpoints: fc.integer({ min: 0, max: 4 }),
          callsPerSecond: fc.integer({ min: 2, max: 120 }),
          loss: fc.double({ min: 0, max: 0.3, noNaN: true }),
          cutShare: fc.constantFrom(0, 0.2, 0.5),
        }),
        (options) => {
          const result = runSendLimitsSimulation({ ...options, lengthMs: 15_000 });
          t.true(
            result.requestsMax <= result.allowed,
            `${result.requestsMax} requests, ${result.allowed} allowed: ${JSON.stringify(options)}`,
          );
        },
      ),
      { numRuns: 25, seed: 1 },
    );
  });

  // Guards against keeping a limit by sending next to nothing.
  it('use most of the rate if calls have nowhere else to go', (t) => {
    for (const instances of [7, 70, 195, 410]) {
      const { limitedRequests } = runSendLimitsSimulation({
        seed: 1,
        instances,
        perSecond: 5,
        limitedEndpoints: 1,
        unlimitedEndpoints: 0,
        callsPerSecond: 20,
        loss: 0.05,
        lengthMs: 16_000,
      });
      t.true(
        limitedRequests >= 0.6 * 5 * 12,
        `${instances} instances: ${limitedRequests} requests`,
      );
    }
  });
});
