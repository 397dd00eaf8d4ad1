import { createRouteTable } from '../routes/route-table.js';
import { describe } from '../test/describe.js';
import { CALL_KIND } from '../types/traffic.js';
import type { TrafficConfiguration } from '../types/traffic.js';
import { FAILURE } from '../types/outcomes.js';
import { resolveCall } from './resolve-call.js';
import type { CallerRequest } from './resolve-call.js';

const CACHE_TOKENS = 1000;
const CONFIGURATION: TrafficConfiguration = {
  version: 1,
  routes: [
    {
      name: 'draft',
      host: 'h',
      pathPrefix: '/draft/',
      kind: CALL_KIND.ResumableStream,
      timeoutMs: 1000,
      targetMs: 100,
      gapTargetMs: 50,
      priority: 1,
      attemptsMax: 1,
      isPublic: true,
      pools: [{ pool: 'p', weight: 1 }],
    },
  ],
  pools: [
    {
      name: 'p',
      connectionsMax: 10,
      engine: { slots: 8, cacheTokens: CACHE_TOKENS },
      scaling: undefined,
    },
  ],
  requiresKeys: false,
  organisations: [],
  limits: { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

function buildRequest(inputTokens: number, partTokens: number): CallerRequest {
  const parts = [
    { id: 'aa', tokens: partTokens },
    { id: 'bb', tokens: partTokens },
  ];
  return {
    callId: 'c',
    host: 'h',
    path: '/draft/x',
    key: undefined,
    callerTimeoutMs: undefined,
    lastEventId: undefined,
    resumedCallId: undefined,
    prompt: { model: 'm', inputTokens, outputTokensMax: 5000, parts },
    payload: { method: 'POST', target: '/draft/x', headers: [], body: Buffer.alloc(0) },
    receivedMs: 0,
  };
}

describe('resolving a request', ({ it }) => {
  // Guards against a prompt that every engine rejects as if it were full, as if the engines were at fault.
  it('refuses a prompt that no engine of its pool has memory for', (t) => {
    const context = { table: createRouteTable(CONFIGURATION), isRecent: true, areKeysValid: true };
    t.true(resolveCall(buildRequest(CACHE_TOKENS, CACHE_TOKENS / 2), context).ok);
    for (const [input, part] of [
      [CACHE_TOKENS + 1, 1],
      [0, CACHE_TOKENS],
    ] as const) {
      const refused = resolveCall(buildRequest(input, part), context);
      t.true(refused.err);
      if (refused.err) {
        t.is(refused.val.type, FAILURE.TooLarge);
        t.is(refused.val.retryAfterMs, undefined);
        t.regex(refused.val.message, /memory for 1000/);
      }
    }
  });
});
