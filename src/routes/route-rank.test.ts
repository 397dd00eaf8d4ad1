import { describe } from '../test/describe.js';
import { buildSimulatedRoute } from '../test/simulated-routes.js';
import { createRouteRanks } from './route-rank.js';

const LOOKUP = buildSimulatedRoute('lookup', { priority: 2, gapTargetMs: 250 });
const OTHER = buildSimulatedRoute('other', { priority: 2, gapTargetMs: 300 });
const DRAFT = buildSimulatedRoute('draft', { priority: 5, gapTargetMs: 400 });
const HISTORY = buildSimulatedRoute('history', { priority: 7, gapTargetMs: 1000 });
const PLAIN = buildSimulatedRoute('plain', { priority: 0, gapTargetMs: undefined });
const POOL = LOOKUP.pools[0]?.pool ?? '';

describe('rank of routes', ({ it }) => {
  it('counts distinct priorities of streams, whatever numbers are declared', (t) => {
    const ranks = createRouteRanks([HISTORY, PLAIN, OTHER, LOOKUP, DRAFT]);
    t.deepEqual(ranks.get(LOOKUP, POOL), {
      rank: 0,
      ranks: 3,
      urgentPauseMs: Infinity,
      nextPauseMs: Infinity,
    });
    t.deepEqual(ranks.get(DRAFT, POOL), {
      rank: 1,
      ranks: 3,
      urgentPauseMs: 250,
      nextPauseMs: Infinity,
    });
    t.deepEqual(ranks.get(HISTORY, POOL), {
      rank: 2,
      ranks: 3,
      urgentPauseMs: 250,
      nextPauseMs: 400,
    });
  });

  it('is 0 at a pool without streams', (t) => {
    const ranks = createRouteRanks([LOOKUP, HISTORY]);
    t.like(ranks.get(HISTORY, 'elsewhere'), { rank: 0, urgentPauseMs: Infinity });
  });
});
