import { describe } from '../test/describe.js';
import { createDrain } from './drain.js';

const TIMEOUT_MS = 7300;
const NOTICE_MS = 2800;

describe('graceful shutdown', ({ it }) => {
  // Guards against accepting requests on open connections that are then cut off by the exit.
  it('accepts requests until the balancer has deregistered the instance, and none after', (t) => {
    const drain = createDrain(TIMEOUT_MS, NOTICE_MS);
    drain.handle({ kind: 'configured' }, 0);
    drain.handle({ kind: 'leave' }, 1000);
    drain.handle({ kind: 'tick', inFlight: 1 }, 1000 + NOTICE_MS - 1);
    t.true(drain.isAccepting());
    t.deepEqual(drain.handle({ kind: 'tick', inFlight: 1 }, 1000 + NOTICE_MS), ['stop_accepting']);
    t.false(drain.isAccepting());
    drain.handle({ kind: 'tick', inFlight: 0 }, 5000);
    t.false(drain.isAccepting());
  });
});
