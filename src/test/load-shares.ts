/** Endpoint loads as instances report them, for tests of placement. */
import { hashStartId } from '../placement/remote-loads.js';
import type { EndpointLoadShare } from '../placement/remote-loads.js';

/** Builds the load share of an idle endpoint, overridden by the given fields. */
export function buildLoadShare({
  endpoint = 'a',
  ...share
}: Omit<Partial<EndpointLoadShare>, 'endpoint'> & {
  readonly endpoint?: string;
}): EndpointLoadShare {
  return {
    endpoint: hashStartId(endpoint),
    running: 0,
    urgent: 0,
    preemptible: 0,
    preemptibleUnreadTokens: 0,
    unreadTokens: 0,
    answers: 0,
    failures: 0,
    readTokens: 0,
    readMs: 0,
    pauses: 0,
    pauseMs: 0,
    ...share,
  };
}
