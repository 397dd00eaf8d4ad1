import { describe } from '../test/describe.js';
import { CALL_KIND } from '../types/traffic.js';
import type { CallingOrganisation, Route, TrafficConfiguration } from '../types/traffic.js';
import { createUrgencyRanks } from './urgency.js';

function buildRoute(priority: number): Route {
  return {
    name: `route-${priority}`,
    host: 'h',
    pathPrefix: `/${priority}/`,
    kind: CALL_KIND.Stream,
    timeoutMs: 1000,
    targetMs: 100,
    gapTargetMs: 100,
    priority,
    attemptsMax: 1,
    isPublic: false,
    pools: [],
  };
}

function buildOrganisation(priority: number | undefined): CallingOrganisation {
  return { name: `o${priority}`, keys: [], priority };
}

function buildConfiguration(
  routes: readonly number[],
  organisations: readonly (number | undefined)[],
): TrafficConfiguration {
  return {
    version: 1,
    routes: routes.map(buildRoute),
    pools: [],
    requiresKeys: true,
    organisations: organisations.map(buildOrganisation),
    limits: { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

describe('urgency', ({ it }) => {
  // Guards against endpoints that preempt interactive calls because organisations have equal priorities.
  it('keeps the order of routes for organisations of equal priority', (t) => {
    const ranks = createUrgencyRanks(buildConfiguration([0, 1, 2], [1, 1, 1]));
    const computed = [0, 1, 2].map((priority) =>
      ranks.compute(buildRoute(priority), buildOrganisation(1)),
    );
    t.deepEqual(computed, [0, 1, 2]);
  });

  // Guards against drafts of a high-priority organisation that preempt interactive calls of others.
  it('ranks by the priority of the route before that of the organisation', (t) => {
    const ranks = createUrgencyRanks(buildConfiguration([0, 1, 2], [0, 1, 1]));
    const draft = ranks.compute(buildRoute(2), buildOrganisation(0));
    t.true(draft > ranks.compute(buildRoute(1), buildOrganisation(1)));
    t.true(draft < ranks.compute(buildRoute(2), buildOrganisation(1)));
  });

  it('ranks calls without an organisation priority by the most frequent one', (t) => {
    const ranks = createUrgencyRanks(buildConfiguration([0, 2], [0, 3, 3, undefined]));
    const most = ranks.compute(buildRoute(2), buildOrganisation(3));
    t.is(ranks.compute(buildRoute(2), undefined), most);
    t.is(ranks.compute(buildRoute(2), buildOrganisation(undefined)), most);
    const plain = createUrgencyRanks(buildConfiguration([0, 2], []));
    t.is(plain.compute(buildRoute(2), undefined), 1);
  });

  it('maps more priorities than levels onto the range of levels, in order', (t) => {
    const priorities = [0, 1, 2, 3, 4, 5];
    const ranks = createUrgencyRanks(buildConfiguration(priorities, priorities));
    const computed = priorities.flatMap((route) =>
      priorities.map((organisation) =>
        ranks.compute(buildRoute(route), buildOrganisation(organisation)),
      ),
    );
    t.deepEqual(
      [...computed].sort((a, b) => a - b),
      computed,
    );
    t.is(computed[0], 0);
    t.is(computed.at(-1), 9);
  });
});
