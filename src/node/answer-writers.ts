/** Writes answers to callers: event streams, JSON bodies and responses of plain services. */
import type { Response } from 'express';
import type { AnswerEnd, AnswerSink } from '../requests/routed-request.js';
import type { RequestFailure } from '../types/outcomes.js';
import { HTTP_STATUS_BY_FAILURE } from '../types/outcomes.js';

/** Unread bytes after which a slow caller is disconnected. */
export const UNREAD_BYTES_MAX = 1024 * 1024;

export function buildErrorBody(failure: RequestFailure, requestId: string): object {
  const { type, message, outcome, retryAfterMs } = failure;
  const retry = retryAfterMs === undefined ? {} : { retry_after_ms: retryAfterMs };
  return { error: { type, message, outcome, ...retry, request_id: requestId } };
}

/** Sends a failure; does nothing if the response has already started or its connection is closed. */
export function sendFailure(response: Response, failure: RequestFailure, requestId: string): void {
  if (response.headersSent || response.destroyed) return;
  if (failure.retryAfterMs !== undefined) {
    response.set('retry-after', String(Math.max(1, Math.ceil(failure.retryAfterMs / 1000))));
  }
  response.status(HTTP_STATUS_BY_FAILURE[failure.type]).json(buildErrorBody(failure, requestId));
}

export interface CompletionWriterOptions {
  readonly response: Response;
  readonly requestId: string;
  readonly model: string;
  readonly createdSeconds: number;
  /** Called when more than `UNREAD_BYTES_MAX` is waiting to be read. */
  readonly onSlowReader: () => void;
}

/** Streams a completion as server-sent events; sends `[DONE]` only after a complete answer. */
export function createStreamWriter(options: CompletionWriterOptions): AnswerSink {
  const { response, requestId, model, createdSeconds } = options;
  const chunkFields = {
    id: requestId,
    object: 'chat.completion.chunk',
    created: createdSeconds,
    model,
  };
  const prefix = `data: ${JSON.stringify(chunkFields).slice(0, -1)},"choices":[{"index":0,"delta":`;
  let isStarted = false;

  function startStream(): void {
    if (isStarted) return;
    isStarted = true;
    response.set({
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-store',
      'x-accel-buffering': 'no',
    });
    response.flushHeaders();
    response.socket?.setNoDelay(true);
  }

  return {
    onDelta(text) {
      startStream();
      response.write(`${prefix}{"content":${JSON.stringify(text)}},"finish_reason":null}]}\n\n`);
      if (response.writableLength > UNREAD_BYTES_MAX) options.onSlowReader();
    },
    onComplete(end) {
      startStream();
      const reason = end.kind === 'completion' ? end.finishReason : 'stop';
      response.end(`${prefix}{},"finish_reason":${JSON.stringify(reason)}}]}\n\ndata: [DONE]\n\n`);
    },
    onFailure(failure) {
      if (!isStarted) {
        sendFailure(response, failure, requestId);
        return;
      }
      const body = JSON.stringify(buildErrorBody(failure, requestId));
      response.end(`event: error\ndata: ${body}\n\n`);
    },
  };
}

/** Sends a completion as one JSON body. */
export function createJsonWriter(options: CompletionWriterOptions): AnswerSink {
  const { response, requestId, model, createdSeconds } = options;
  const deltas: string[] = [];

  function buildBody(end: AnswerEnd): object {
    const isCompletion = end.kind === 'completion';
    return {
      id: requestId,
      object: 'chat.completion',
      created: createdSeconds,
      model,
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content: deltas.join('') },
          finish_reason: isCompletion ? end.finishReason : 'stop',
        },
      ],
      usage: { completion_tokens: isCompletion ? end.tokens : 0 },
    };
  }

  return {
    onDelta(text) {
      deltas.push(text);
    },
    onComplete(end) {
      if (!response.destroyed) response.json(buildBody(end));
    },
    onFailure(failure) {
      sendFailure(response, failure, requestId);
    },
  };
}

/** Forwards the response of a plain service. */
export function createServiceWriter(response: Response, requestId: string): AnswerSink {
  return {
    onDelta: () => undefined,
    onComplete(end) {
      if (end.kind !== 'service' || response.destroyed) return;
      response.status(end.status).set('content-type', end.contentType).send(Buffer.from(end.body));
    },
    onFailure(failure) {
      sendFailure(response, failure, requestId);
    },
  };
}
