import { describe } from '../test/describe.js';
import { CALL_KIND } from '../types/traffic.js';
import type { RegisteredEndpoint, Route } from '../types/traffic.js';
import type { PoolPace } from './endpoint-loads.js';
import type { PoolDemand } from './reading-demand.js';
import { PROMPT_ROLE, createPromptRoles, listLongEngines } from './split-engines.js';
import type { PromptRole, PromptRoles } from './split-engines.js';

function buildRoute(name: string, gapTargetMs: number | undefined): Route {
  return {
    name,
    host: 'h',
    pathPrefix: '/',
    kind: CALL_KIND.Stream,
    timeoutMs: 10_000,
    targetMs: 1000,
    gapTargetMs,
    priority: 1,
    attemptsMax: 1,
    isPublic: false,
    pools: [],
  };
}

const DRAFT = buildRoute('draft', 1000);
const TAG = buildRoute('tag', 400);
const SUGGESTION = buildRoute('suggestion', 250);

const PACE: PoolPace = {
  reading: { fixedMs: 40, msPerToken: 0.02, meanTokens: 3000 },
  readingPauseMs: undefined,
  plainPauseMs: 25,
  meanRunMs: 0,
};

function buildDemand(demand: Partial<PoolDemand>): PoolDemand {
  return {
    pool: 'p',
    longReading: 0,
    shortReading: 0,
    longTokens: 0,
    shortTokens: 0,
    longRunning: 0,
    shortRunning: 0,
    readingPauseMs: undefined,
    ...demand,
  };
}

function buildEndpoint(id: string, slots: number): RegisteredEndpoint {
  return {
    id,
    startId: id,
    pool: 'p',
    address: id,
    dataCentre: 'd',
    slots,
    isLeaving: false,
  };
}

describe('engines for long prompts', ({ describe: block }) => {
  block('roles of calls', ({ it }) => {
    function createSizes() {
      const roles = createPromptRoles();
      for (let count = 0; count < 10; count += 1) {
        roles.record(DRAFT, 'p', 7000);
        roles.record(TAG, 'p', 1800);
        roles.record(SUGGESTION, 'p', 700);
      }
      return roles;
    }

    function findRoles(roles: PromptRoles, pauseMs: number | undefined, pool = 'p'): PromptRole[] {
      roles.update(pool, PACE, pauseMs);
      return [DRAFT, TAG, SUGGESTION].map((route) => roles.find(route, pool));
    }

    const PLAIN = [PROMPT_ROLE.Plain, PROMPT_ROLE.Plain, PROMPT_ROLE.Plain];
    const APART = [PROMPT_ROLE.Long, PROMPT_ROLE.Plain, PROMPT_ROLE.Delicate];

    // Drafts of 7,000 tokens stand beside suggestions that may pause for 250 ms; while an engine
    // reads, nine in ten pauses are shorter than 240 ms.
    it('follow from the pauses that reading makes and the sizes of prompts', (t) => {
      t.deepEqual(findRoles(createSizes(), 240), APART);
    });

    // Engines that read twice as fast: keeping prompts apart would leave engines idle for nothing.
    it('are plain where reading makes no pause too long, or nothing is known', (t) => {
      t.deepEqual(findRoles(createSizes(), 150), PLAIN);
      t.deepEqual(findRoles(createSizes(), undefined), PLAIN);
      t.deepEqual(findRoles(createSizes(), 240, 'other'), PLAIN);
    });

    // Pauses of 190 to 210 ms, where 200 divide: were the pool split and joined in turn, homes would
    // move each time, and every shared part be read again.
    it('do not change to and fro', (t) => {
      const roles = createSizes();
      t.deepEqual(findRoles(roles, 190), PLAIN);
      t.deepEqual(findRoles(roles, 210), APART);
      t.deepEqual(findRoles(roles, 160), APART);
      t.deepEqual(findRoles(roles, 140), PLAIN);
    });

    it('are plain where no route has long prompts', (t) => {
      const roles = createPromptRoles();
      for (let count = 0; count < 10; count += 1) {
        roles.record(TAG, 'p', 1800);
        roles.record(SUGGESTION, 'p', 700);
      }
      t.deepEqual(findRoles(roles, 240), PLAIN);
    });
  });

  block('their number', ({ it }) => {
    function listEngines(count: number, slots: number): RegisteredEndpoint[] {
      return Array.from({ length: count }, (_, index) => buildEndpoint(`e-${index}`, slots));
    }

    function countLong(engines: number, slots: number, demand: Partial<PoolDemand>): number {
      return listLongEngines(listEngines(engines, slots), buildDemand(demand)).size;
    }

    it('grows with the reading of long prompts and never takes what the others need', (t) => {
      t.is(countLong(8, 64, {}), 1);
      t.is(countLong(8, 64, { longReading: 1.4 }), 3);
      t.is(countLong(8, 64, { longReading: 9 }), 7);
      t.is(countLong(8, 64, { longReading: 9, shortReading: 0.9 }), 6);
      t.is(countLong(8, 12, { longRunning: 30 }), 4);
      t.is(countLong(2, 12, { longRunning: 90, shortRunning: 90 }), 1);
      t.is(countLong(1, 64, { longReading: 1 }), 0);
    });

    // A quiet morning: reading drafts keeps a third of an engine busy, but their 180 shared parts of
    // 4,870 tokens do not fit one engine's memory. Kept on one, each would be read again at each turn.
    it('is in proportion to what either side asks engines to keep', (t) => {
      const tokens = { longTokens: 145_000, shortTokens: 47_000 };
      t.is(countLong(8, 64, { longReading: 0.3, ...tokens }), 6);
      t.is(countLong(8, 64, { longReading: 0.3, ...tokens, shortRunning: 150 }), 5);
    });

    it('moves few of them where it changes, and is the same for any order', (t) => {
      const endpoints = listEngines(6, 64);
      const three = listLongEngines(endpoints, buildDemand({ longReading: 1.4 }));
      const four = listLongEngines([...endpoints].reverse(), buildDemand({ longReading: 1.8 }));
      t.is(three.size, 3);
      t.is(four.size, 4);
      t.true([...three].every((id) => four.has(id)));
    });
  });
});
