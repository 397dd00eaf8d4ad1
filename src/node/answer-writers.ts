/** Writes answers to callers: streamed frames, one JSON body, or a plain service's answer. */
import type { Response } from 'express';
import type { AnswerEnd, AnswerSink } from '../requests/routed-request.js';
import type { RequestFailure } from '../types/outcomes.js';
import { STATUS_OF_FAILURE } from '../types/outcomes.js';

/** Bytes a slow caller may leave unread before it counts as gone. */
export const UNREAD_BYTES_MAX = 1024 * 1024;

/** The JSON object of a failure. */
export function buildErrorBody(failure: RequestFailure, requestId: string): object {
  const { type, message, outcome, retryAfterMs } = failure;
  const retry = retryAfterMs === undefined ? {} : { retry_after_ms: retryAfterMs };
  return { error: { type, message, outcome, ...retry, request_id: requestId } };
}

/** Answers with a failure before anything else was written. */
export function sendFailure(response: Response, failure: RequestFailure, requestId: string): void {
  if (response.headersSent || response.destroyed) return;
  if (failure.retryAfterMs !== undefined) {
    response.set('retry-after', String(Math.max(1, Math.ceil(failure.retryAfterMs / 1000))));
  }
  response.status(STATUS_OF_FAILURE[failure.type]).json(buildErrorBody(failure, requestId));
}

/** Settings of a completion's writer. */
export interface CompletionWriterOptions {
  readonly response: Response;
  readonly requestId: string;
  readonly model: string;
  readonly createdSeconds: number;
  /** The caller does not read: nothing more is kept for it. */
  readonly onSlowReader: () => void;
}

/** Streams a completion as server-sent events; `[DONE]` only after a whole answer. */
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

/** Collects a completion and answers with one JSON body. */
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

/** Passes a plain service's answer on. */
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
