/** What callers are told whose call is not sent. */
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';

/** With no endpoint in sight a caller comes back after this long, in milliseconds: a registry's change takes less to arrive. */
const NO_ENDPOINT_RETRY_MS = 1000;
/** Turned away by overload a caller comes back after this long, in milliseconds: answers under way take one to a few seconds to make room. */
const NO_CAPACITY_RETRY_MS = 1000;

/** No endpoint can get the call. */
export const NO_ENDPOINT: RequestFailure = {
  type: FAILURE.NoEndpoint,
  message: 'no endpoint of the pool is in sight; come back after the time given',
  outcome: OUTCOME.NotRun,
  retryAfterMs: NO_ENDPOINT_RETRY_MS,
};

/** Engines are too busy with more urgent calls. */
export const NO_CAPACITY: RequestFailure = {
  type: FAILURE.Overloaded,
  message: 'no engine had room in time; come back after the time given',
  outcome: OUTCOME.NotRun,
  retryAfterMs: NO_CAPACITY_RETRY_MS,
};
