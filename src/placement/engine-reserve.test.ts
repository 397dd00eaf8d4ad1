import fc from 'fast-check';
import { describe } from '../test/describe.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createEngineReserves } from './engine-reserve.js';
import type { EngineReserves, ReserveInput } from './engine-reserve.js';

const POOL = 'p';
const SLOTS = 24;
const URGENT_PAUSE_MS = 150;

function buildEngines(count: number): readonly RegisteredEndpoint[] {
  return Array.from({ length: count }, (_, index) => {
    const id = `engine-${index}`;
    return {
      id,
      startId: id,
      pool: POOL,
      address: id,
      dataCentre: 'a',
      slots: SLOTS,
      isLeaving: false,
      isSpot: false,
    };
  });
}

/** A pool with so many urgent calls under way, spread evenly. */
function buildInput(
  engines: number,
  urgent: number,
  change: Partial<ReserveInput> = {},
): ReserveInput {
  return {
    endpoints: buildEngines(engines),
    countUrgent: () => urgent / engines,
    pauseMsPerCall: 0,
    urgentPauseMs: URGENT_PAUSE_MS,
    ...change,
  };
}

/** Reserves that saw long prompts beside short urgent ones. */
function createTrainedReserves(): EngineReserves {
  const reserves = createEngineReserves();
  reserves.recordPrompt(POOL, true, 1400);
  reserves.recordPrompt(POOL, false, 9000);
  return reserves;
}

function recordPauses(reserves: EngineReserves, longestPauseMs: number, count: number): void {
  for (let index = 0; index < count; index += 1) {
    reserves.recordStream(POOL, {
      endpoint: 'engine-0',
      longestPauseMs,
      urgentPauseMs: URGENT_PAUSE_MS,
    });
  }
}

describe('engines kept for urgent streams', ({ it }) => {
  it('are as many as urgent calls fill by half, and the same on every instance', (t) => {
    const input = buildInput(82, 140);
    const reserved = createTrainedReserves().choose(POOL, input, 0);
    t.is(reserved.size, Math.ceil(140 / (SLOTS / 2)));
    t.deepEqual(createTrainedReserves().choose(POOL, input, 0), reserved);
  });

  it('are a few before the first urgent call', (t) => {
    t.is(createTrainedReserves().choose(POOL, buildInput(82, 0), 0).size, 5);
  });

  it('are more where calls under way lengthen pauses much', (t) => {
    const paced = buildInput(82, 140, { pauseMsPerCall: 5 });
    t.is(createTrainedReserves().choose(POOL, paced, 0).size, Math.ceil(140 / 7.5));
  });

  // Everybody else must still be served: a crowd of urgent calls may not take a whole pool.
  it('are a third of the pool at most', (t) => {
    t.is(createTrainedReserves().choose(POOL, buildInput(82, 5000), 0).size, 27);
    t.is(createTrainedReserves().choose(POOL, buildInput(1, 5000), 0).size, 0);
  });

  it('are none where nobody is less urgent, or prompts are alike', (t) => {
    const alone = buildInput(82, 140, { urgentPauseMs: Infinity });
    t.is(createTrainedReserves().choose(POOL, alone, 0).size, 0);
    const alike = createEngineReserves();
    alike.recordPrompt(POOL, true, 5000);
    alike.recordPrompt(POOL, false, 6000);
    t.is(alike.choose(POOL, buildInput(82, 140), 0).size, 0);
  });

  // Six engines serve streams that declare a quarter of a second. Nothing that is read there delays one
  // for as long: an engine taken from the histories would be missed, and gain nothing.
  it('are none where streams beside long prompts are in time', (t) => {
    const reserves = createTrainedReserves();
    t.is(reserves.choose(POOL, buildInput(6, 12), 0).size, 0);
    recordPauses(reserves, 120, 30);
    t.is(reserves.choose(POOL, buildInput(6, 12), 1000).size, 0);
    t.is(reserves.choose(POOL, buildInput(82, 140), 2000).size, 0);
  });

  it('are some where streams beside long prompts pause for too long, however small the pool', (t) => {
    const reserves = createTrainedReserves();
    recordPauses(reserves, 170, 30);
    t.is(reserves.choose(POOL, buildInput(6, 12), 0).size, 1);
  });

  // A crowd of lookups ebbs and swells by the second. Engines that changed their use as often would
  // have the shared parts of histories moved from one to another and read again each time.
  it('grow at once and are given back late', (t) => {
    const reserves = createTrainedReserves();
    t.is(reserves.choose(POOL, buildInput(80, 60), 0).size, 5);
    t.is(reserves.choose(POOL, buildInput(80, 120), 500).size, 10);
    t.is(reserves.choose(POOL, buildInput(80, 60), 5000).size, 10);
    t.true(reserves.choose(POOL, buildInput(80, 60), 25_000).size < 10);
  });

  it('stay what they are but for one when an engine comes or goes', (t) => {
    fc.assert(
      fc.property(fc.integer({ min: 30, max: 120 }), fc.nat(1000), (count, seed) => {
        const before = buildInput(count, count);
        const left = before.endpoints.filter((_, index) => index !== seed % count);
        const reserves = createTrainedReserves();
        const reserved = reserves.choose(POOL, before, 0);
        const after = reserves.choose(POOL, { ...before, endpoints: left }, 50);
        const moved = [...after].filter((id) => !reserved.has(id));
        t.true(moved.length <= 1);
      }),
    );
  });
});
