import { describe } from '../test/describe.js';
import { ENDPOINT_VERDICT, createEndpointLoads } from './endpoint-loads.js';
import type { EndpointLoads } from './endpoint-loads.js';
import { computeSlowness } from './reading-pace.js';

/** Plays prompts of 3,720 tokens that are read one after the other, each in `tookMs`. */
function runPrompts(loads: EndpointLoads, id: string, tookMs: number): number {
  let nowMs = 0;
  for (let count = 0; count < 20; count += 1) {
    const ticket = loads.start(id, 3720, nowMs);
    nowMs += tookMs;
    ticket.recordFirst(nowMs);
    ticket.recordEnd(ENDPOINT_VERDICT.Good, nowMs + 100);
  }
  return nowMs;
}

describe('reading pace', ({ it }) => {
  // The counter opens on cold engines: prompts that are counted at 3,720 tokens are read with their
  // 13,300 shared ones, so that what promises 0.3 s takes 1.4 s, and clerks wait behind it.
  it('follows engines that read more than is counted, and forgets', (t) => {
    const loads = createEndpointLoads();
    t.is(Math.round(loads.computePace('a', 0)), 112);
    const nowMs = runPrompts(loads, 'a', 45 + 152);
    const pace = loads.computePace('a', nowMs);
    t.true(pace > 20 && pace < 60, `${pace}`);
    t.true(loads.computePace('a', nowMs + 20_000) > 105);
  });

  // One engine of three has turned five times slower while its health and its count of calls look
  // like the others'.
  it('tells a slow engine from the others, also by what other instances measured', (t) => {
    const loads = createEndpointLoads();
    const nowMs = runPrompts(loads, 'a', 80);
    runPrompts(loads, 'b', 80);
    const share = { endpoint: 'c', running: 0, unreadTokens: 0, answers: 0, failures: 0 };
    loads.setTold('peer', [{ ...share, readTokens: 20_000, readMs: 900 }], false, nowMs);
    const mean = loads.getMeanPace(nowMs);
    t.true(computeSlowness(mean, loads.computePace('c', nowMs)) > 1.5);
    t.true(computeSlowness(mean, loads.computePace('a', nowMs)) <= 1);
  });

  it('leaves nothing behind of what is told no more', (t) => {
    const loads = createEndpointLoads();
    const share = { endpoint: 'c', running: 2, unreadTokens: 7, answers: 0.1, failures: 0.1 };
    loads.setTold('peer', [{ ...share, readTokens: 20_000.3, readMs: 900.7 }], true, 0);
    loads.advance(5000, 1000);
    t.is(loads.computePace('c', 5000), loads.computePace('other', 5000));
    t.deepEqual(loads.get('c'), { running: 0, unreadTokens: 0 });
  });
});
