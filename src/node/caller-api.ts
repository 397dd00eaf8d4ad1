/** The HTTP API for callers. */
import { randomUUID } from 'node:crypto';
import express from 'express';
import type { ErrorRequestHandler, Express, Request, RequestHandler, Response } from 'express';
import type { OrganisationLimiter, PeerDemand } from '../limits/organisation-limits.js';
import { REPEATABILITY } from '../requests/request-messages.js';
import type { AnswerSink, RoutedRequest, Work } from '../requests/routed-request.js';
import type { TimerService } from '../runtime/timer-service.js';
import type {
  Declarations,
  OrganisationDeclaration,
  PoolDeclaration,
} from '../types/declarations.js';
import { FAILURE } from '../types/outcomes.js';
import type { RequestFailure } from '../types/outcomes.js';
import { hashName, hashText } from '../utils/hash.js';
import {
  createJsonWriter,
  createServiceWriter,
  createStreamWriter,
  sendFailure,
} from './answer-writers.js';
import type { Authenticator } from './authenticator.js';
import {
  createNotRunFailure,
  findModelPool,
  findServicePool,
  listModels,
  parseCompletionBody,
  resolveRequestOptions,
} from './check-request.js';
import type { CompletionBody, RequestOptions, RoutingHeaders } from './check-request.js';
import type { RequestRunner, RunningRequest } from './request-runner.js';

/** Length of the prompt prefix that is hashed. */
const PREFIX_CHARACTERS = 256;
const NOT_READY_RETRY_MS = 1000;
const IDEMPOTENT_METHODS = ['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'];
const FORWARDED_HEADERS = ['content-type', 'accept', 'idempotency-key'] as const;
const SERVICE_PATH = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

export interface CallerApiOptions {
  readonly runner: RequestRunner;
  readonly authenticator: Authenticator;
  readonly limiter: OrganisationLimiter;
  readonly timers: TimerService;
  readonly maxBodyBytes: number;
  readonly getDeclarations: () => Declarations | undefined;
  readonly getPeerDemand: () => PeerDemand;
}

interface CallerContext {
  readonly requestId: string;
  readonly organisation: OrganisationDeclaration;
  readonly declarations: Declarations;
}

function getRequestId(response: Response): string {
  return String(response.locals.requestId);
}

function readHeaders(request: Request): RoutingHeaders {
  return {
    className: request.get('x-hyssoptally-class'),
    repeatable: request.get('x-hyssoptally-repeatable'),
    idempotencyKey: request.get('idempotency-key'),
    deadlineMs: request.get('x-hyssoptally-deadline-ms'),
  };
}

function buildCompletionWork(body: CompletionBody): Work {
  const { model, messages, stream, max_tokens: maxTokens, ...fields } = body;
  return { kind: 'completion', model, messages, maxTokens, fields };
}

function computePrefixHash(organisation: string, body: CompletionBody): number {
  const [first] = body.messages;
  const text = typeof first?.content === 'string' ? first.content : JSON.stringify(first?.content);
  return hashName(`${organisation}|${body.model}|${text.slice(0, PREFIX_CHARACTERS)}`);
}

function buildBodyFailure(error: unknown, maxBodyBytes: number): RequestFailure {
  const { type } = error as { type?: string };
  if (type === 'entity.too.large') {
    return createNotRunFailure(
      FAILURE.TooLarge,
      `the body is larger than ${maxBodyBytes} bytes; send a shorter one`,
    );
  }
  return createNotRunFailure(FAILURE.BadRequest, 'the body is not valid JSON; correct it');
}

export function createCallerApi(options: CallerApiOptions): Express {
  const { runner, authenticator, limiter, timers, maxBodyBytes } = options;
  const app = express();
  app.disable('x-powered-by');
  app.disable('etag');

  const setRequestId: RequestHandler = (_, response, next) => {
    const requestId = randomUUID();
    response.locals.requestId = requestId;
    response.set('x-hyssoptally-request-id', requestId);
    next();
  };

  const checkCaller: RequestHandler = (request, response, next) => {
    const declarations = options.getDeclarations();
    const requestId = getRequestId(response);
    if (declarations === undefined) {
      const message = 'this instance has no configuration yet; try another';
      sendFailure(
        response,
        createNotRunFailure(FAILURE.NotReady, message, NOT_READY_RETRY_MS),
        requestId,
      );
      return;
    }
    const organisation = authenticator.find(request.headers.authorization);
    if (organisation === undefined) {
      response.set('www-authenticate', 'Bearer');
      const message = 'the key is missing or unknown; send Authorization: Bearer KEY';
      sendFailure(response, createNotRunFailure(FAILURE.Unauthenticated, message), requestId);
      return;
    }
    response.locals.caller = { requestId, organisation, declarations } satisfies CallerContext;
    next();
  };

  function getCaller(response: Response): CallerContext {
    return response.locals.caller as CallerContext;
  }

  /** Counts a request against its organisation's limits; at a limit, sends the failure and returns false. */
  function takeAdmission(caller: CallerContext, response: Response): boolean {
    const nowMs = timers.clock.monotonicMs();
    const admission = limiter.take(caller.organisation, options.getPeerDemand(), nowMs);
    if (admission.kind === 'admitted') return true;
    const message = `the organisation's ${admission.limit} limit is reached; come back after the time given, or ask its operators for more`;
    sendFailure(
      response,
      createNotRunFailure(FAILURE.OrganisationLimit, message, admission.retryAfterMs),
      caller.requestId,
    );
    return false;
  }

  function createReleasingSink(caller: CallerContext, sink: AnswerSink): AnswerSink {
    const release = (): void => limiter.release(caller.organisation.name);
    return {
      onDelta: (text) => sink.onDelta(text),
      onComplete(end) {
        release();
        sink.onComplete(end);
      },
      onFailure(failure) {
        release();
        sink.onFailure(failure);
      },
    };
  }

  function runRequest(
    response: Response,
    caller: CallerContext,
    requestOptions: RequestOptions,
    pool: PoolDeclaration,
    routed: Pick<RoutedRequest, 'work' | 'bodyHash' | 'prefixHash'>,
    sink: AnswerSink,
  ): RunningRequest | undefined {
    if (!takeAdmission(caller, response)) return undefined;
    const running = runner.run(
      {
        requestId: caller.requestId,
        organisation: caller.organisation,
        classDeclaration: requestOptions.classDeclaration,
        pool,
        repeatability: requestOptions.repeatability,
        idempotencyKey: requestOptions.idempotencyKey,
        deadlineMs: timers.clock.monotonicMs() + requestOptions.timeoutMs,
        ...routed,
      },
      createReleasingSink(caller, sink),
    );
    response.on('close', () => {
      if (!response.writableFinished) running.close();
    });
    return running;
  }

  function handleCompletion(request: Request, response: Response): void {
    const caller = getCaller(response);
    const { requestId } = caller;
    const body = parseCompletionBody(request.body);
    if (body.err) {
      sendFailure(response, body.val, requestId);
      return;
    }
    const requestOptions = resolveRequestOptions(
      caller.declarations,
      caller.organisation,
      readHeaders(request),
      true,
    );
    if (requestOptions.err) {
      sendFailure(response, requestOptions.val, requestId);
      return;
    }
    const pool = findModelPool(caller.declarations, caller.organisation, body.val.model);
    if (pool.err) {
      sendFailure(response, pool.val, requestId);
      return;
    }
    let running: RunningRequest | undefined;
    const writer = {
      response,
      requestId,
      model: body.val.model,
      createdSeconds: Math.floor(timers.clock.wallMs() / 1000),
      // Protects against callers that stop reading, whose answers would accumulate in memory.
      onSlowReader: () => {
        running?.close();
        response.destroy();
      },
    };
    running = runRequest(
      response,
      caller,
      requestOptions.val,
      pool.val,
      {
        work: buildCompletionWork(body.val),
        bodyHash:
          requestOptions.val.repeatability === REPEATABILITY.Once
            ? hashText(JSON.stringify(request.body))
            : '',
        prefixHash: computePrefixHash(caller.organisation.name, body.val),
      },
      body.val.stream ? createStreamWriter(writer) : createJsonWriter(writer),
    );
  }

  function handleService(request: Request, response: Response): void {
    const caller = getCaller(response);
    const [, poolName, path, query] = SERVICE_PATH.exec(request.originalUrl) ?? [];
    const pool = findServicePool(caller.declarations, caller.organisation, poolName ?? '');
    if (pool.err) {
      sendFailure(response, pool.val, caller.requestId);
      return;
    }
    const isIdempotent = IDEMPOTENT_METHODS.includes(request.method);
    const headers = readHeaders(request);
    const requestOptions = resolveRequestOptions(
      caller.declarations,
      caller.organisation,
      headers,
      isIdempotent,
    );
    if (requestOptions.err) {
      sendFailure(response, requestOptions.val, caller.requestId);
      return;
    }
    const body = Buffer.isBuffer(request.body) ? request.body : undefined;
    const target = `${path ?? '/'}${query ?? ''}`;
    const forwarded: Record<string, string> = {};
    for (const name of FORWARDED_HEADERS) {
      const value = request.get(name);
      if (value !== undefined) forwarded[name] = value;
    }
    const work: Work = {
      kind: 'service',
      method: request.method,
      path: target,
      headers: forwarded,
      body,
    };
    const identity = `${request.method} ${target} ${body?.toString('base64') ?? ''}`;
    runRequest(
      response,
      caller,
      requestOptions.val,
      pool.val,
      { work, bodyHash: hashText(identity), prefixHash: 0 },
      createServiceWriter(response, caller.requestId),
    );
  }

  const handleError: ErrorRequestHandler = (error, _request, response, next) => {
    if (response.headersSent) next(error);
    else sendFailure(response, buildBodyFailure(error, maxBodyBytes), getRequestId(response));
  };

  app.use(setRequestId);
  app.use(checkCaller);
  app.post(
    '/v1/chat/completions',
    express.json({ limit: maxBodyBytes, type: () => true }),
    handleCompletion,
  );
  app.get('/v1/models', (_, response) => {
    const { declarations, organisation } = getCaller(response);
    const data = listModels(declarations, organisation).map((id) => ({ id, object: 'model' }));
    response.json({ object: 'list', data });
  });
  app.use('/services', express.raw({ limit: maxBodyBytes, type: () => true }), handleService);
  app.use((_, response) => {
    const message =
      'there is no such path; use /v1/chat/completions, /v1/models or /services/POOL/PATH';
    sendFailure(
      response,
      createNotRunFailure(FAILURE.UnknownPath, message),
      getRequestId(response),
    );
  });
  app.use(handleError);
  return app;
}
