/** Checks what a caller asks for against the configuration in hand, and makes a routed call of it. */
import { createContentIdGetter } from '../calls/content-id.js';
import type { CallPayload, PromptShape, RoutedCall } from '../calls/call-messages.js';
import { choosePool } from '../routes/route-table.js';
import type { RouteTable } from '../routes/route-table.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { Failure, RequestFailure } from '../types/outcomes.js';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';

/** An instance without knowledge asks callers to come back after this long, in milliseconds: a reconnect takes less. */
const NOT_READY_RETRY_MS = 500;
/** A caller of an instance that leaves comes back after this long, in milliseconds: a new connection leads to another instance, which serves it at once. */
const LEAVING_RETRY_MS = 50;

/** What a caller sent, as far as the product needs to understand it. */
export interface CallerRequest {
  readonly callId: string | undefined;
  readonly host: string;
  /** Path without query. */
  readonly path: string;
  readonly key: string | undefined;
  /** How long the caller will wait, in milliseconds; undefined where it does not say. */
  readonly waitsMs: number | undefined;
  readonly lastEventId: string | undefined;
  readonly prompt: PromptShape | undefined;
  readonly payload: CallPayload;
  readonly receivedMs: number;
}

/** What is known when a call comes in. */
export interface AdmissionContext {
  readonly table: RouteTable | undefined;
  /** Whether the table is surely recent enough to say that something does not exist. */
  readonly isRecent: boolean;
  /** Whether keys in the table are surely still valid. */
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

/** The refusal of an instance whose knowledge is missing or too old for this call. */
export function createNotReadyFailure(message: string): RequestFailure {
  return createNotRunFailure(FAILURE.NotReady, message, NOT_READY_RETRY_MS);
}

/** The refusal of an instance that could not finish the call before it ends. */
export function createLeavingFailure(): RequestFailure {
  return createNotRunFailure(
    FAILURE.NotReady,
    'this instance is leaving; try another',
    LEAVING_RETRY_MS,
  );
}

/** Makes a call of a request, or says why not. */
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
    // A route that is missing in old knowledge may have been added since.
    if (!context.isRecent) {
      return Err(
        createNotReadyFailure('this instance cannot tell whether the route exists; try another'),
      );
    }
    return Err(
      createNotRunFailure(FAILURE.UnknownPath, 'no route has this host and path; correct them'),
    );
  }
  const requiresKey = table.hasOrganisations && !route.isPublic;
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
  const pool = choosePool(route, callId);
  if (pool === undefined) {
    return Err(createNotReadyFailure('the route has no pool yet; come back'));
  }
  const timeoutMs = Math.min(request.waitsMs ?? route.timeoutMs, route.timeoutMs);
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
    isKeyed: requiresKey,
    urgency: table.computeUrgency(route, organisation),
    prompt: request.prompt,
    payload: request.payload,
    lastEventId: request.lastEventId,
    receivedMs: request.receivedMs,
    deadlineMs: request.receivedMs + timeoutMs,
  });
}
