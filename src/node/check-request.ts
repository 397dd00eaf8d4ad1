/** Validates requests of callers; error messages say how to correct the request. */
import { z } from 'zod';
import { REPEATABILITY } from '../requests/request-messages.js';
import type { Repeatability } from '../requests/request-messages.js';
import type {
  ClassDeclaration,
  Declarations,
  OrganisationDeclaration,
  PoolDeclaration,
} from '../types/declarations.js';
import { POOL_KIND } from '../types/declarations.js';
import { FAILURE, OUTCOME } from '../types/outcomes.js';
import type { Failure, RequestFailure } from '../types/outcomes.js';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';

const IDEMPOTENCY_KEY_MAX_LENGTH = 256;
const MAX_TOKENS_LIMIT = 1_000_000;

const contentSchema = z.union([z.string(), z.array(z.looseObject({ type: z.string() })).min(1)]);

const completionSchema = z.looseObject({
  model: z.string().min(1).max(256),
  messages: z
    .array(z.looseObject({ role: z.string(), content: contentSchema }))
    .min(1)
    .max(4096),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().max(MAX_TOKENS_LIMIT).optional(),
});

export type CompletionBody = z.infer<typeof completionSchema>;

/** Headers that control how a request is routed, as sent by the caller. */
export interface RoutingHeaders {
  readonly className: string | undefined;
  readonly repeatable: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly deadlineMs: string | undefined;
}

/** Validated routing options of a request. */
export interface RequestOptions {
  readonly classDeclaration: ClassDeclaration;
  readonly repeatability: Repeatability;
  readonly idempotencyKey: string | undefined;
  readonly timeoutMs: number;
}

export function createNotRunFailure(
  type: Failure,
  message: string,
  retryAfterMs?: number,
): RequestFailure {
  const failure = { type, message, outcome: OUTCOME.NotRun };
  return retryAfterMs === undefined ? failure : { ...failure, retryAfterMs };
}

export function parseCompletionBody(body: unknown): Result<CompletionBody, RequestFailure> {
  const parsed = completionSchema.safeParse(body);
  if (parsed.success) return Ok(parsed.data);
  const [issue] = parsed.error.issues;
  const path = issue?.path.map(String).join('.') ?? '';
  return Err(
    createNotRunFailure(
      FAILURE.BadRequest,
      `${path === '' ? 'the body' : path}: ${issue?.message ?? 'is wrong'}; correct it`,
    ),
  );
}

function resolveClass(
  declarations: Declarations,
  organisation: OrganisationDeclaration,
  requested: string | undefined,
): Result<ClassDeclaration, RequestFailure> {
  const name = requested ?? organisation.defaultClass;
  const declaration = declarations.classes.get(name);
  if (declaration !== undefined && organisation.classes.includes(name)) return Ok(declaration);
  return Err(
    createNotRunFailure(
      FAILURE.ForbiddenClass,
      `class ${JSON.stringify(name.slice(0, 64))} is not open to this organisation; use one of ${organisation.classes.join(', ')}`,
    ),
  );
}

function resolveRepeatability(
  headers: RoutingHeaders,
  isIdempotentMethod: boolean,
): Result<Repeatability, RequestFailure> {
  switch (headers.repeatable) {
    case undefined:
      return Ok(isIdempotentMethod ? REPEATABILITY.Repeatable : REPEATABILITY.SingleAttempt);
    case 'true':
      return Ok(REPEATABILITY.Repeatable);
    case 'false':
      break;
    default:
      return Err(
        createNotRunFailure(FAILURE.BadRequest, 'x-hyssoptally-repeatable must be true or false'),
      );
  }
  const length = headers.idempotencyKey?.length ?? 0;
  if (length > 0 && length <= IDEMPOTENCY_KEY_MAX_LENGTH) return Ok(REPEATABILITY.Once);
  return Err(
    createNotRunFailure(
      FAILURE.BadRequest,
      `a request that is not repeatable needs an Idempotency-Key of 1 to ${IDEMPOTENCY_KEY_MAX_LENGTH} characters`,
    ),
  );
}

function resolveDeadline(
  requested: string | undefined,
  declaration: ClassDeclaration,
): Result<number, RequestFailure> {
  if (requested === undefined) return Ok(declaration.deadlineMs);
  const deadlineMs = Number(requested);
  if (Number.isFinite(deadlineMs) && deadlineMs > 0) {
    return Ok(Math.min(deadlineMs, declaration.deadlineMs));
  }
  return Err(
    createNotRunFailure(
      FAILURE.BadRequest,
      'x-hyssoptally-deadline-ms must be a number of milliseconds above 0',
    ),
  );
}

export function resolveRequestOptions(
  declarations: Declarations,
  organisation: OrganisationDeclaration,
  headers: RoutingHeaders,
  isIdempotentMethod: boolean,
): Result<RequestOptions, RequestFailure> {
  const classDeclaration = resolveClass(declarations, organisation, headers.className);
  if (classDeclaration.err) return classDeclaration;
  const repeatability = resolveRepeatability(headers, isIdempotentMethod);
  if (repeatability.err) return repeatability;
  const timeoutMs = resolveDeadline(headers.deadlineMs, classDeclaration.val);
  if (timeoutMs.err) return timeoutMs;
  return Ok({
    classDeclaration: classDeclaration.val,
    repeatability: repeatability.val,
    idempotencyKey: headers.idempotencyKey,
    timeoutMs: timeoutMs.val,
  });
}

export function findModelPool(
  declarations: Declarations,
  organisation: OrganisationDeclaration,
  model: string,
): Result<PoolDeclaration, RequestFailure> {
  for (const name of organisation.pools) {
    const pool = declarations.pools.get(name);
    if (pool?.kind === POOL_KIND.Engine && pool.models.includes(model)) return Ok(pool);
  }
  return Err(
    createNotRunFailure(
      FAILURE.UnknownModel,
      `model ${JSON.stringify(model.slice(0, 64))} is not open to this organisation; GET /v1/models lists those that are`,
    ),
  );
}

export function findServicePool(
  declarations: Declarations,
  organisation: OrganisationDeclaration,
  name: string,
): Result<PoolDeclaration, RequestFailure> {
  const pool = declarations.pools.get(name);
  const isAllowed = organisation.pools.includes(name) && pool?.kind === POOL_KIND.Service;
  if (isAllowed) return Ok(pool);
  return Err(
    createNotRunFailure(
      FAILURE.UnknownPool,
      `service ${JSON.stringify(name.slice(0, 64))} is not open to this organisation; ask its operators`,
    ),
  );
}

export function listModels(
  declarations: Declarations,
  organisation: OrganisationDeclaration,
): string[] {
  const models = organisation.pools.flatMap((name) => {
    const pool = declarations.pools.get(name);
    return pool?.kind === POOL_KIND.Engine ? pool.models : [];
  });
  return [...new Set(models)];
}
