import { describe } from '../test/describe.js';
import { CALL_KIND } from '../types/traffic.js';
import type { RegisteredEndpoint, Route } from '../types/traffic.js';
import type { PoolPace } from './endpoint-loads.js';
import type { PoolDemand } from './reading-demand.js';
import { PROMPT_ROLE, createPromptRoles, listLongEngines } from './split-engines.js';

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

function buildPace(readingPauseMs: number | undefined): PoolPace {
  const reading = { fixedMs: 40, msPerToken: 0.02, meanTokens: 3000 };
  return { reading, readingPauseMs, plainPauseMs: 25 };
}

function buildDemand(demand: Partial<PoolDemand>): PoolDemand {
  return {
    pool: 'p',
    longReading: 0,
    shortReading: 0,
    longRunning: 0,
    shortRunning: 0,
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

    // Drafts of 7,000 tokens stand beside suggestions that may pause for 250 ms; while an engine
    // reads, nine in ten pauses are shorter than 240 ms.
    it('follow from the pauses that reading makes and the sizes of prompts', (t) => {
      const roles = createSizes();
      const pace = buildPace(240);
      t.is(roles.find(DRAFT, 'p', pace), PROMPT_ROLE.Long);
      t.is(roles.find(SUGGESTION, 'p', pace), PROMPT_ROLE.Delicate);
      t.is(roles.find(TAG, 'p', pace), PROMPT_ROLE.Plain);
    });

    // Engines that read twice as fast: keeping prompts apart would leave engines idle for nothing.
    it('are plain where reading makes no pause too long, or nothing is known', (t) => {
      const roles = createSizes();
      for (const route of [DRAFT, TAG, SUGGESTION]) {
        t.is(roles.find(route, 'p', buildPace(150)), PROMPT_ROLE.Plain);
        t.is(roles.find(route, 'p', buildPace(undefined)), PROMPT_ROLE.Plain);
        t.is(roles.find(route, 'other', buildPace(240)), PROMPT_ROLE.Plain);
      }
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
