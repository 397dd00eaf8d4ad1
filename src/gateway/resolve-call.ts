/** Validates a request against the current configuration and resolves it to a routed call. */
import { createContentIdGetter } from '../calls/content-id.js';
import type { CallPayload, PromptShape, RoutedCall } from '../calls/call-messages.js';
import { computePromptTokens } from '../placement/prompt-cost.js';
import { choosePool } from '../routes/route-table.js';
import type { RouteTable } from '../routes/route-table.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { Failure, RequestFailure } from '../types/outcomes.js';
import type { TrafficPool } from '../types/traffic.js';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';

/** A reconnection to the source takes less. */
const NOT_READY_RETRY_MS = 500;
/** Short, since a new connection leads to another instance. */
const LEAVING_RETRY_MS = 50;

/** Request of a caller, decoded by the deployment's HTTP interface. */
export interface CallerRequest {
  readonly callId: string | undefined;
  readonly host: string;
  /** Path without query. */
  readonly path: string;
  readonly key: string | undefined;
  /** Timeout set by the caller, if any. */
  readonly callerTimeoutMs: number | undefined;
  readonly lastEventId: string | undefined;
  /** Call that brought the first event of the stream that this request resumes. */
  readonly resumedCallId: string | undefined;
  readonly prompt: PromptShape | undefined;
  readonly payload: CallPayload;
  readonly receivedMs: number;
}

export interface AdmissionContext {
  readonly table: RouteTable | undefined;
  /** Whether the table is recent enough to conclude that a route or key does not exist. */
  readonly isRecent: boolean;
  /** Whether the table is recent enough to conclude that its keys have not been revoked. */
  readonly areKeysValid: boolean;
}

function createNotRunFailure(
  type: Failure,
  message: string,
  retryAfterMs?: number,
): RequestFailure {
  const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
  return { type, message, outcome: OUTCOME.NotRun, ...retry };
}

/** Failure of an instance whose configuration is missing or too old for the call. */
export function createNotReadyFailure(message: string): RequestFailure {
  return createNotRunFailure(FAILURE.NotReady, message, NOT_READY_RETRY_MS);
}

/** Failure of an instance that is shutting down. */
export function createLeavingFailure(): RequestFailure {
  return createNotRunFailure(
    FAILURE.NotReady,
    'this instance is leaving; try another',
    LEAVING_RETRY_MS,
  );
}

/**
 * Refuses a prompt that no engine of the pool has memory for. Guards against calls that every engine
 * rejects as if it were full, which would count as failures of sound engines.
 */
function checkPromptSize(
  prompt: PromptShape | undefined,
  pool: TrafficPool | undefined,
): RequestFailure | undefined {
  const cacheTokens = pool?.engine?.cacheTokens ?? 0;
  if (prompt === undefined || cacheTokens <= 0) return undefined;
  const tokens = computePromptTokens(prompt);
  if (tokens <= cacheTokens) return undefined;
  return createNotRunFailure(
    FAILURE.TooLarge,
    `the prompt has ${tokens} tokens and an engine has memory for ${cacheTokens}; send a shorter one`,
  );
}

export function resolveCall(
  request: CallerRequest,
  context: AdmissionContext,
): Result<RoutedCall, RequestFailure> {
  const { table } = context;
  if (table === undefined) {
    return Err(
      createNotReadyFailure('this instance has no configuration yet; come back or try another'),
    );
  }
  const { callId } = request;
  if (callId === undefined || callId === '') {
    return Err(createNotRunFailure(FAILURE.BadRequest, 'the request bears no id; send one'));
  }
  const route = table.findRoute(request.host, request.path);
  if (route === undefined) {
    // The route may have been added after the last known configuration.
    if (!context.isRecent) {
      return Err(
        createNotReadyFailure('this instance cannot tell whether the route exists; try another'),
      );
    }
    return Err(
      createNotRunFailure(FAILURE.UnknownPath, 'no route has this host and path; correct them'),
    );
  }
  const requiresKey = table.requiresKey(route);
  const organisation =
    request.key === undefined || !requiresKey ? undefined : table.findOrganisation(request.key);
  if (requiresKey && !context.areKeysValid) {
    return Err(
      createNotReadyFailure('this instance cannot tell whether the key is valid; try another'),
    );
  }
  if (requiresKey && organisation === undefined) {
    if (!context.isRecent) {
      return Err(
        createNotReadyFailure('this instance cannot tell whether the key exists; try another'),
      );
    }
    return Err(
      createNotRunFailure(FAILURE.Unauthenticated, 'the key is missing or unknown; send one'),
    );
  }
  // A resumed stream goes on in the pool that the route's split chose for its first call.
  const isResumed = request.lastEventId !== undefined && request.resumedCallId !== undefined;
  const pool = choosePool(route, isResumed ? request.resumedCallId : callId);
  if (pool === undefined) {
    return Err(createNotReadyFailure('the route has no pool yet; come back'));
  }
  const failure = checkPromptSize(request.prompt, table.findPool(pool));
  if (failure !== undefined) return Err(failure);
  const timeoutMs = Math.min(request.callerTimeoutMs ?? route.timeoutMs, route.timeoutMs);
  const { method, target, body } = request.payload;
  const getContentId = createContentIdGetter({
    method,
    host: request.host,
    target,
    organisation: organisation?.name,
    body,
  });
  return Ok({
    callId,
    get contentId() {
      return getContentId();
    },
    route,
    pool,
    organisation: organisation?.name,
    isAuthenticated: requiresKey,
    urgency: table.computeUrgency(route, organisation),
    prompt: request.prompt,
    payload: request.payload,
    lastEventId: request.lastEventId,
    resumedCallId: request.resumedCallId,
    callerTimeoutMs: request.callerTimeoutMs,
    receivedMs: request.receivedMs,
    deadlineMs: request.receivedMs + timeoutMs,
  });
}
