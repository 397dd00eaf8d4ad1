/** How far a request without a complete response was processed. Part of the wire protocol. */
export const OUTCOME = {
  /** No endpoint started the request, so it is safe to retry. */
  NotRun: 'not_run',
  /** An endpoint may have run the request. */
  MayHaveRun: 'may_have_run',
  /** Part of the response was delivered. */
  Incomplete: 'incomplete',
} as const;
export type Outcome = (typeof OUTCOME)[keyof typeof OUTCOME];

/** Failure types in responses to callers. */
export const FAILURE = {
  Unauthenticated: 'unauthenticated',
  ForbiddenClass: 'forbidden_class',
  ForbiddenPool: 'forbidden_pool',
  UnknownModel: 'unknown_model',
  UnknownPool: 'unknown_pool',
  UnknownPath: 'unknown_path',
  BadRequest: 'bad_request',
  TooLarge: 'too_large',
  HeadersTooLarge: 'headers_too_large',
  OrganisationLimit: 'organisation_limit',
  Overloaded: 'overloaded',
  DeadlineUnreachable: 'deadline_unreachable',
  DeadlinePassed: 'deadline_passed',
  NoEndpoint: 'no_endpoint',
  EndpointFailed: 'endpoint_failed',
  EndpointRefused: 'endpoint_refused',
  IdempotencyKeyInUse: 'idempotency_key_in_use',
  IdempotencyKeyReused: 'idempotency_key_reused',
  ClaimUnavailable: 'claim_unavailable',
  NotReady: 'not_ready',
  Quarantined: 'quarantined',
  CallerLeft: 'caller_left',
} as const;
export type Failure = (typeof FAILURE)[keyof typeof FAILURE];

export interface RequestFailure {
  readonly type: Failure;
  /** States what happened and what to do about it. */
  readonly message: string;
  readonly outcome: Outcome;
  /** Suggested delay before a retry. */
  readonly retryAfterMs?: number;
}

export const HTTP_STATUS_BY_FAILURE: Readonly<Record<Failure, number>> = {
  unauthenticated: 401,
  forbidden_class: 403,
  forbidden_pool: 403,
  unknown_model: 404,
  unknown_pool: 404,
  unknown_path: 404,
  bad_request: 400,
  too_large: 413,
  headers_too_large: 431,
  organisation_limit: 429,
  overloaded: 503,
  deadline_unreachable: 503,
  deadline_passed: 504,
  no_endpoint: 503,
  endpoint_failed: 502,
  endpoint_refused: 502,
  idempotency_key_in_use: 409,
  idempotency_key_reused: 422,
  claim_unavailable: 503,
  not_ready: 503,
  quarantined: 503,
  caller_left: 499,
};
