import { describe } from '../test/describe.js';
import type { PermitRequest } from './permit-messages.js';
import { createPermitQueue } from './permit-queue.js';

const ENDPOINT = 7;
const INTERVAL_MS = 1000;

function buildRequest(id: number, request: Partial<PermitRequest> = {}): PermitRequest {
  return {
    id,
    urgency: 3,
    organisation: 1,
    waitLeftMs: 10_000,
    endpoints: [ENDPOINT],
    ...request,
  };
}

/** A queue with one send a second, the first at 0. */
function createHarness() {
  let nextMs = 0;
  return createPermitQueue({
    computeRate: () => 1000 / INTERVAL_MS,
    computeReadyInMs: (_, nowMs) => Math.max(0, nextMs - nowMs),
    isReady: (_, nowMs) => nowMs >= nextMs,
    take(_, nowMs) {
      if (nowMs < nextMs) return false;
      nextMs = nowMs + INTERVAL_MS;
      return true;
    },
  });
}

function listGranted(queue: ReturnType<typeof createHarness>, nowMs: number): number[] {
  return queue.advance(nowMs).map(({ reply }) => reply.id);
}

describe('permit queue', ({ it }) => {
  it('grants the most urgent first, then the organisation served longest ago', (t) => {
    const queue = createHarness();
    const requests = [
      buildRequest(1, { organisation: 1 }),
      buildRequest(2, { organisation: 1 }),
      buildRequest(3, { organisation: 2 }),
      buildRequest(4, { urgency: 0, organisation: 1 }),
    ];
    const order = [0, 1000, 2000, 3000].flatMap((nowMs) => {
      for (const request of requests) queue.handle(request, 'a', nowMs);
      return listGranted(queue, nowMs);
    });
    t.deepEqual(order, [4, 3, 1, 2]);
  });

  // Guards against calls that wait for a send that comes too late for them.
  it('refuses at arrival what it cannot serve in time, with the predicted wait', (t) => {
    const queue = createHarness();
    t.is(queue.handle(buildRequest(1, { waitLeftMs: 100 }), 'a', 0), undefined);
    t.deepEqual(listGranted(queue, 0), [1]);
    t.deepEqual(queue.handle(buildRequest(2, { waitLeftMs: 1000 }), 'a', 100), {
      kind: 'refused',
      id: 2,
      retryAfterMs: 900,
    });
    t.is(queue.count(), 0);
  });

  // Guards against spending a second send on a call whose grant was lost.
  it('repeats a grant without taking another send', (t) => {
    const queue = createHarness();
    queue.handle(buildRequest(1), 'a', 0);
    t.deepEqual(listGranted(queue, 0), [1]);
    t.is(queue.handle(buildRequest(1), 'a', 300)?.kind, 'granted');
    t.deepEqual(listGranted(queue, 1000), []);
  });

  // Guards against spending sends on calls that have ended.
  it('drops a request that is not repeated', (t) => {
    const queue = createHarness();
    queue.handle(buildRequest(1), 'a', 0);
    queue.handle(buildRequest(2), 'a', 0);
    t.deepEqual(listGranted(queue, 0), [1]);
    t.deepEqual(listGranted(queue, 1000), []);
    t.is(queue.count(), 0);
  });
});
