import { describe } from '../test/describe.js';
import { buildLoadShare } from '../test/load-shares.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { ENDPOINT_VERDICT, createEndpointLoads } from './endpoint-loads.js';
import type { EndpointLoads } from './endpoint-loads.js';
import { createPrefillFit } from './prefill-fit.js';

/** Part of the time to the first event that does not depend on the prompt. */
const FIXED_MS = 45;

function buildEndpoint(id: string): RegisteredEndpoint {
  return {
    id,
    startId: id,
    pool: 'p',
    address: id,
    dataCentre: 'd',
    slots: 16,
    isLeaving: false,
    isSpot: false,
    softwareVersion: 'v1',
  };
}

/**
 * Simulates prompts of varying size that are read one at a time; returns the time of the last
 * answer.
 */
function runPrompts(
  loads: EndpointLoads,
  id: string,
  tokensPerMs: number,
  startMs = 0,
  hiddenTokens = 0,
): number {
  let nowMs = startMs;
  for (let count = 0; count < 20; count += 1) {
    const tokens = 1000 + (count % 5) * 1500;
    const ticket = loads.start(buildEndpoint(id), tokens, nowMs);
    nowMs += FIXED_MS + (tokens + hiddenTokens) / tokensPerMs;
    ticket.recordEvent(nowMs);
    ticket.recordEnd(ENDPOINT_VERDICT.Good, nowMs + 100);
  }
  return nowMs;
}

describe('prefill speed', ({ describe: block }) => {
  block('of a pool', ({ it }) => {
    // Guards against assuming a prefill speed, which would misjudge the queues of other engines.
    it('is estimated for engines of any speed, apart from the fixed time', (t) => {
      for (const tokensPerMs of [20, 57, 112, 300]) {
        const loads = createEndpointLoads();
        t.is(loads.getPoolTiming('p').prefillSpeed, undefined);
        runPrompts(loads, 'a', tokensPerMs);
        const speed = loads.getPoolTiming('p').prefillSpeed;
        t.true(Math.abs(1 / (speed?.msPerToken ?? 1) - tokensPerMs) < tokensPerMs * 0.02);
        t.true(Math.abs((speed?.fixedMs ?? 0) - FIXED_MS) < 3);
      }
    });

    it('is undefined when the time does not grow with prompt size', (t) => {
      const fit = createPrefillFit();
      for (let count = 0; count < 50; count += 1) fit.add(1000, 50 + (count % 7));
      t.is(fit.get(), undefined);
    });

    it('ignores calls that waited behind other prompts', (t) => {
      const loads = createEndpointLoads();
      loads.start(buildEndpoint('a'), 50_000, 0);
      for (let count = 0; count < 30; count += 1) {
        loads.start(buildEndpoint('a'), 1000 + count * 100, 0).recordEvent(2000);
      }
      t.is(loads.getPoolTiming('p').prefillSpeed, undefined);
    });
  });

  block('of one engine', ({ it }) => {
    // Guards against counting prefixes as cached at an engine with a cold cache.
    it('shows an engine with a cold cache as slow and forgets it later', (t) => {
      const loads = createEndpointLoads();
      const engine = buildEndpoint('a');
      t.is(loads.getSlowdown(engine, 0), 1);
      const warmMs = runPrompts(loads, 'b', 112);
      const nowMs = runPrompts(loads, 'a', 112, warmMs, 13_300);
      t.true(loads.getSlowdown(engine, nowMs) > 1.5);
      t.true(loads.getSlowdown(engine, nowMs + 20_000) < 1.05);
    });

    // Guards against an engine that has become slow while its health and load look normal.
    it('detects a slow engine from the samples of other instances', (t) => {
      const loads = createEndpointLoads();
      const nowMs = runPrompts(loads, 'b', 100, runPrompts(loads, 'a', 100));
      loads.remote.set(
        'peer',
        [buildLoadShare({ endpoint: 'c', readTokens: 20_000, readMs: 900 })],
        false,
        nowMs,
      );
      t.true(loads.getSlowdown(buildEndpoint('c'), nowMs) > 1.5);
      t.true(loads.getSlowdown(buildEndpoint('a'), nowMs) <= 1.01);
    });

    it('keeps nothing of an expired report', (t) => {
      const loads = createEndpointLoads();
      const nowMs = runPrompts(loads, 'a', 100);
      const share = { running: 2, unreadTokens: 7, answers: 0.1, failures: 0.1 };
      loads.remote.set(
        'peer',
        [buildLoadShare({ endpoint: 'c', ...share, readTokens: 20_000.3, readMs: 900.7 })],
        true,
        nowMs,
      );
      loads.remote.removeExpired(nowMs + 5000, 1000);
      const slowdown = loads.getSlowdown(buildEndpoint('c'), nowMs + 5000);
      t.is(slowdown, loads.getSlowdown(buildEndpoint('other'), nowMs + 5000));
      t.deepEqual(loads.get('c'), {
        running: 0,
        urgent: 0,
        preemptible: 0,
        preemptibleUnreadTokens: 0,
        unreadTokens: 0,
      });
    });
  });
});
