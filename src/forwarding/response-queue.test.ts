import fc from 'fast-check';
import { describe } from '../test/describe.js';
import type { ForwardResponse } from './forward-messages.js';
import { createResponseQueue } from './response-queue.js';

const KILOBYTE = 1024;
const QUEUED_BYTES_MAX = 64 * KILOBYTE;
const HEAD: ForwardResponse = { kind: 'head', status: 200, headers: [] };
const PIECE = fc.oneof(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 1, max: 40 * KILOBYTE }));

function createHarness() {
  const state = { isPaused: false };
  const queue = createResponseQueue({
    pause() {
      state.isPaused = true;
    },
    resume() {
      state.isPaused = false;
    },
  });
  return { state, queue };
}

async function readAll(queue: AsyncIterable<ForwardResponse>): Promise<ForwardResponse[]> {
  const responses: ForwardResponse[] = [];
  for await (const response of queue) responses.push(response);
  return responses;
}

function mergeData(responses: readonly ForwardResponse[]): Buffer {
  return Buffer.concat(responses.map((each) => (each.kind === 'data' ? each.bytes : Buffer.of())));
}

describe('a queue of responses', ({ it }) => {
  // Guards against bytes that are lost or change their order between peers.
  it('delivers all bytes in order between the head and the end, and lets go on once read', async (t) => {
    await fc.assert(
      fc.asyncProperty(fc.array(PIECE), async (sizes) => {
        const { state, queue } = createHarness();
        const sent: ForwardResponse[] = sizes.map((size, index) => ({
          kind: 'data',
          bytes: Buffer.alloc(size, index),
        }));
        let waiting = 0;
        for (const response of [HEAD, ...sent]) {
          queue.add(response);
          waiting += response.kind === 'data' ? response.bytes.length : 0;
          t.is(state.isPaused, waiting > QUEUED_BYTES_MAX);
        }
        queue.add({ kind: 'ended' });
        queue.close();
        const got = await readAll(queue);
        t.deepEqual([got[0], got.at(-1)], [HEAD, { kind: 'ended' }]);
        t.false(state.isPaused);
        return mergeData(got).equals(mergeData(sent));
      }),
      { numRuns: 50 },
    );
  });

  // Guards against a peer that ends for want of memory when an endpoint sends single bytes.
  it('joins small pieces while the peer does not read', async (t) => {
    const { queue } = createHarness();
    for (let index = 0; index < 50_000; index += 1)
      queue.add({ kind: 'data', bytes: Buffer.from('x') });
    queue.close();
    const got = await readAll(queue);
    t.is(got.length, 1);
    t.is(mergeData(got).length, 50_000);
  });
});
