/** Shares of load as instances tell them, for tests of placing. */
import { hashStartId } from '../placement/remote-loads.js';
import type { EndpointLoadShare } from '../placement/remote-loads.js';

/** Builds a share of endpoint `a` with nothing under way, but for what is given. */
export function buildShare({
  endpoint = 'a',
  ...share
}: Omit<Partial<EndpointLoadShare>, 'endpoint'> & {
  readonly endpoint?: string;
}): EndpointLoadShare {
  return {
    endpoint: hashStartId(endpoint),
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
