/** Failures reported to callers whose call is not sent, or is lost track of. */
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';

/** Registry changes reach the instance within this time. */
const NO_ENDPOINT_RETRY_MS = 1000;
/** Running responses take one to a few seconds to free capacity. */
const NO_CAPACITY_RETRY_MS = 1000;

/** The pool has no usable endpoint. */
export const NO_ENDPOINT: RequestFailure = {
  type: FAILURE.NoEndpoint,
  message: 'no endpoint of the pool is in sight; come back after the time given',
  outcome: OUTCOME.NotRun,
  retryAfterMs: NO_ENDPOINT_RETRY_MS,
};

/**
 * Another instance may know the stream or see an endpoint of its version at once; nobody learns it later,
 * so that a longer wait only costs the caller time in which it could begin anew.
 */
const STREAM_RETRY_MS = 200;

/** Nobody can tell which software version began the stream that the call resumes. */
export const STREAM_UNKNOWN: RequestFailure = {
  type: FAILURE.NoEndpoint,
  message:
    'no instance in reach knows which version of the endpoints began this stream; begin it anew, without its last event',
  outcome: OUTCOME.NotRun,
  retryAfterMs: STREAM_RETRY_MS,
};

/** No endpoint of the software version that began the stream is left. */
export const VERSION_GONE: RequestFailure = {
  type: FAILURE.NoEndpoint,
  message:
    'no endpoint of the version that began this stream is left; begin it anew, without its last event',
  outcome: OUTCOME.NotRun,
  retryAfterMs: STREAM_RETRY_MS,
};

/** The engines are busy with more urgent calls. */
export const NO_CAPACITY: RequestFailure = {
  type: FAILURE.Overloaded,
  message: 'no engine had room in time; come back after the time given',
  outcome: OUTCOME.NotRun,
  retryAfterMs: NO_CAPACITY_RETRY_MS,
};

/** An error was thrown while the call was handled; how far it came is unknown, so nothing is promised. */
export const HANDLING_FAILED: RequestFailure = {
  type: FAILURE.EndpointFailed,
  message: 'this instance failed to handle the call; it may have run',
  outcome: OUTCOME.MayHaveRun,
};
