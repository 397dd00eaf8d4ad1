/** Shares of load as instances tell them, for tests of placing. */
import type { EndpointShareOfLoad } from '../placement/endpoint-loads.js';

/** Builds a share of endpoint `a` with nothing under way, but for what is given. */
export function buildShare(share: Partial<EndpointShareOfLoad>): EndpointShareOfLoad {
  return {
    endpoint: 'a',
    running: 0,
    unreadTokens: 0,
    answers: 0,
    failures: 0,
    readTokens: 0,
    readMs: 0,
    ...share,
  };
}
