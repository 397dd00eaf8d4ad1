import { NO_NOTICE } from '../endpoint-availability/availability-notice.js';
import type { AvailabilityNotice } from '../endpoint-availability/availability-notice.js';
import { describe } from '../test/describe.js';
import { createEndpointNotices } from './endpoint-notices.js';

function buildRest(restMs: number): AvailabilityNotice {
  return { ...NO_NOTICE, rest: { kind: 'rest', restMs } };
}

function createHarness() {
  const state = { nowMs: 0 };
  const leaving: string[] = [];
  const notices = createEndpointNotices({
    getNow: () => state.nowMs,
    onLeaving: (endpoint) => leaving.push(endpoint),
    onResting: () => undefined,
  });
  return { notices, state, leaving };
}

describe('endpoint notices', ({ it }) => {
  it('keep the longest rest to its end', (t) => {
    const { notices, state } = createHarness();
    notices.recordAnswer('e', buildRest(3000));
    notices.recordAnswer('e', buildRest(500));
    notices.recordAnswer('e', NO_NOTICE);
    t.is(notices.computeRestLeft('e'), 3000);
    state.nowMs = 3000;
    t.is(notices.computeRestLeft('e'), 0);
  });

  // Guards against a load report, older than the response, that undoes what the endpoint said.
  it('let only a later health check deny that an endpoint is leaving', (t) => {
    const { notices, state, leaving } = createHarness();
    state.nowMs = 1000;
    notices.recordAnswer('e', { ...NO_NOTICE, isLeaving: true });
    t.deepEqual(leaving, ['e']);
    t.true(notices.isLeaving('e'));
    t.false(notices.isDenialCurrent('e', 900));
    t.false(notices.isDenialCurrent('e', 2000));
    t.true(notices.isDenialCurrent('e', 6000));
    notices.setLeaving('e', false);
    t.false(notices.isLeaving('e'));
  });
});
