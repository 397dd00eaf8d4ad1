import { describe } from '../test/describe.js';
import { CALL_KIND } from '../types/traffic.js';
import type { Route, TrafficConfiguration, WeightedPool } from '../types/traffic.js';
import { choosePool, createRouteTable } from './route-table.js';

function buildRoute(pathPrefix: string, pools: readonly WeightedPool[] = []): Route {
  return {
    name: pathPrefix,
    host: 'h.example',
    pathPrefix,
    kind: CALL_KIND.Idempotent,
    timeoutMs: 1000,
    targetMs: 100,
    gapTargetMs: undefined,
    priority: 2,
    attemptsMax: 2,
    isPublic: false,
    pools,
  };
}

const CONFIGURATION: TrafficConfiguration = {
  version: 3,
  routes: [buildRoute('/a/'), buildRoute('/a/b/')],
  pools: [],
  requiresKeys: true,
  organisations: [{ name: 'depots', keys: ['k1', 'k2'], priority: undefined }],
  limits: { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

describe('route table', ({ it }) => {
  it('finds the longest prefix of the host', (t) => {
    const table = createRouteTable(CONFIGURATION);
    t.is(table.findRoute('h.example', '/a/b/c')?.pathPrefix, '/a/b/');
    t.is(table.findRoute('h.example', '/a/c')?.pathPrefix, '/a/');
    t.is(table.findRoute('h.example', '/b/'), undefined);
    t.is(table.findRoute('other.example', '/a/'), undefined);
  });

  it('finds the organisation of each of its keys', (t) => {
    const table = createRouteTable(CONFIGURATION);
    t.is(table.findOrganisation('k2')?.name, 'depots');
    t.is(table.findOrganisation('__proto__'), undefined);
  });

  it('splits calls by weight, and maps a call id to the same pool each time', (t) => {
    const route = buildRoute('/a/', [
      { pool: 'old', weight: 90 },
      { pool: 'new', weight: 10 },
    ]);
    const ids = Array.from({ length: 2000 }, (_, index) => `call-${index}`);
    const share = ids.filter((id) => choosePool(route, id) === 'new').length / ids.length;
    t.true(share > 0.07 && share < 0.13, String(share));
    t.is(choosePool(route, 'call-1'), choosePool(route, 'call-1'));
  });

  // Guards against a pool that gets calls although its share of the route is zero.
  it('never chooses a pool without weight', (t) => {
    const pools = [
      { pool: 'new', weight: 10 },
      { pool: 'old', weight: 0 },
    ];
    const ids = Array.from({ length: 500 }, (_, index) => `call-${index}`);
    t.true(ids.every((id) => choosePool(buildRoute('/a/', pools), id) === 'new'));
    t.is(choosePool(buildRoute('/a/', pools.slice(1)), 'call-1'), undefined);
    t.is(choosePool(buildRoute('/a/'), 'call-1'), undefined);
  });

  // Guards against routes that open because the last organisation or its last key is gone.
  it('asks for keys whatever organisations are left', (t) => {
    for (const organisations of [[], [{ name: 'depots', keys: [], priority: undefined }]]) {
      const table = createRouteTable({ ...CONFIGURATION, organisations });
      t.true(table.requiresKey(buildRoute('/a/')));
      t.false(table.requiresKey({ ...buildRoute('/a/'), isPublic: true }));
    }
  });
});
