/** Shares of load as instances tell them, for tests of placing. */
import { hashStart } from '../placement/told-loads.js';
import type { EndpointShareOfLoad } from '../placement/told-loads.js';

/** Builds a share of endpoint `a` with nothing under way, but for what is given. */
export function buildShare({
  endpoint = 'a',
  ...share
}: Omit<Partial<EndpointShareOfLoad>, 'endpoint'> & {
  readonly endpoint?: string;
}): EndpointShareOfLoad {
  return {
    endpoint: hashStart(endpoint),
    running: 0,
    urgent: 0,
    unreadTokens: 0,
    answers: 0,
    failures: 0,
    readTokens: 0,
    readMs: 0,
    ...share,
  };
}
