/* eslint-disable no-await-in-loop, import-x/extensions -- a part of the scripts, run as it is */
/** How a model runner works: memory, preemption and streams of numbered events. */
import { waitMs } from './routers.mjs';

const READ_AGAIN_MS = 50;

/**
 * The memory of one runner: requests take what X-Token-Count names. When it runs out, the newest of the least
 * urgent requests is preempted, also in the middle of its stream, and read in again once there is room.
 */
export function createMemory(capacityTokens, record) {
  const running = new Set();
  const getUsed = () =>
    [...running].reduce((sum, { tokens, isPreempted }) => sum + (isPreempted ? 0 : tokens), 0);

  function preemptFor(urgent) {
    while (getUsed() + urgent.tokens > capacityTokens) {
      const [victim] = [...running]
        .filter(({ priority, isPreempted }) => !isPreempted && priority > urgent.priority)
        .sort((x, y) => y.priority - x.priority || y.beganMs - x.beganMs);
      if (victim === undefined) return;
      victim.isPreempted = true;
      record(`runner: ${victim.callId} is preempted for ${urgent.callId}`);
    }
  }

  return {
    add(request) {
      preemptFor(request);
      running.add(request);
    },
    remove: (request) => running.delete(request),
    /** Resolves once the request may make its next event. */
    async waitTurn(request, isGone) {
      while (request.isPreempted && !isGone()) {
        await waitMs(10);
        if (request.isPreempted && getUsed() + request.tokens <= capacityTokens) {
          await waitMs(READ_AGAIN_MS);
          request.isPreempted = false;
          record(`runner: ${request.callId} is read in again and goes on`);
        }
      }
    },
  };
}

/** Streams numbered events; `paces`: how many, and how far apart, by the kind that an attempt's id begins with. */
export function createRun(memory, paces) {
  return async ({ request, response, record: run, headers }) => {
    const { events, pauseMs } = paces[run.callId.split('-')[0]];
    const [tokensIn, tokensOut] = request.headers['x-token-count'].split(',').map(Number);
    const own = {
      callId: run.callId,
      tokens: tokensIn + tokensOut,
      priority: Number(request.headers['x-request-priority'] ?? 5),
      beganMs: performance.now(),
      isPreempted: false,
    };
    memory.add(own);
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    const resumedAt = Number(request.headers['last-event-id'] ?? 0);
    for (let event = resumedAt + 1; event <= events && !response.destroyed; event += 1) {
      await memory.waitTurn(own, () => response.destroyed);
      response.write(`id: ${event}\ndata: ${run.callId} ${event}\n\n`);
      await waitMs(pauseMs);
    }
    memory.remove(own);
    response.end();
  };
}
