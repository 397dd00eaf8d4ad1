/** Simulates fleets whose endpoints name rate limits for all instances together. */
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { runLimitSimulation } from '../test/limit-simulation.js';
import type { LimitSimulationOptions, LimitSimulationResult } from '../test/limit-simulation.js';
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
});
