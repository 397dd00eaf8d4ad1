/**
 * Sends attempts to endpoints over HTTP and parses their responses. Endpoints echo the attempt's id in
 * the response header and in every frame, so that frames of other attempts can be detected.
 */
import { Readable } from 'node:stream';
import { StringDecoder } from 'node:string_decoder';
import { createParser } from 'eventsource-parser';
import type { Pool } from 'undici';
import { createGuardedPool } from '../connections/guarded-client.js';
import { createEndpointConnections } from '../calls/endpoint-connections.js';
import type { HeaderField } from '../calls/call-messages.js';
import { parseRetryAfter } from '../endpoint-availability/availability-notice.js';
import type { AvailabilityNotice } from '../endpoint-availability/availability-notice.js';
import type { EndpointDeclaration } from '../types/declarations.js';
import { createJoinedBytes } from '../memory/joined-bytes.js';
import type { AttemptEnding } from '../requests/request-messages.js';
import { readText } from '../utils/read-text.js';

const CONNECT_TIMEOUT_MS = 800;
const CONNECTIONS_MAX = 512;
const KEEP_ALIVE_MS = 10_000;
const SERVICE_BODY_BYTES_MAX = 16 * 1024 * 1024;
/** Errors raised before any byte was sent, after which a retry is safe. */
const UNSENT_CODES = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'];
/** In any response: `true` if the endpoint is leaving. */
const LEAVING_HEADER = 'x-endpoint-leaving';
const RETRY_AFTER_HEADER = 'retry-after';
const STATUS_UNAVAILABLE = 503;
const DONE_EVENT_DATA = '[DONE]';

export interface AttemptListener {
  /** Called for the head of each response, before anything else. */
  onNotice(notice: AvailabilityNotice): void;
  /**
   * `id` is the attempt id in the frame; `index` is its position in the whole answer; `fingerprint`
   * tells the software and weights of the endpoint, if it names them.
   */
  onFrame(id: string, index: number, text: string, fingerprint?: string): void;
  onFinished(id: string, index: number, finishReason: string): void;
  onEnded(ending: AttemptEnding): void;
}

export interface CompletionAttempt {
  readonly attemptId: string;
  readonly body: string;
  /** Number of frames delivered by earlier attempts. */
  readonly offset: number;
}

export interface ServiceAttempt {
  readonly attemptId: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | undefined;
}

export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

export type ServiceResult =
  | { readonly kind: 'answered'; readonly answer: ServiceAnswer }
  | { readonly kind: 'ended'; readonly ending: AttemptEnding };

export interface ServiceListener {
  /** Called for the head of each response, before anything else. */
  onNotice(notice: AvailabilityNotice): void;
  onEnded(result: ServiceResult): void;
}

export interface EndpointClient {
  /** Starts a completion and returns a function that cancels it. */
  startCompletion(
    endpoint: EndpointDeclaration,
    attempt: CompletionAttempt,
    listener: AttemptListener,
  ): () => void;
  startService(
    endpoint: EndpointDeclaration,
    attempt: ServiceAttempt,
    listener: ServiceListener,
  ): () => void;
  /**
   * Sends a control request; undefined on an error, a timeout or a status other than 200. If `isAllowed`
   * returns false once the connection is open, the request is abandoned before it is complete.
   * @default isAllowed () => true
   */
  fetchJson(
    endpoint: EndpointDeclaration,
    path: string,
    body: object | undefined,
    timeoutMs: number,
    isAllowed?: () => boolean,
  ): Promise<unknown>;
  close(): Promise<void>;
}

interface StreamFrame {
  readonly id: string;
  readonly index: number | undefined;
  readonly text: string;
  readonly finishReason: string | undefined;
  readonly fingerprint: string | undefined;
}

interface WireFrame {
  readonly id?: unknown;
  readonly index?: unknown;
  readonly system_fingerprint?: unknown;
  readonly choices?: readonly {
    readonly delta?: { readonly content?: unknown };
    readonly finish_reason?: unknown;
  }[];
}

/**
 * Checks `isAllowed` right before the last byte, without which the endpoint cannot process the request.
 * Guards against a process that is suspended after an earlier check.
 */
async function* listGuardedParts(bytes: Buffer, isAllowed: () => boolean): AsyncGenerator<Buffer> {
  yield bytes.subarray(0, -1);
  if (!isAllowed()) throw new Error('request abandoned: it is not allowed any more');
  yield bytes.subarray(-1);
}

/**
 * Parses a completion frame; undefined for other events. Runs for every token, so it avoids the cost of
 * schema validation.
 */
function parseFrame(data: string): StreamFrame | undefined {
  const { id, index, choices, system_fingerprint: fingerprint } = JSON.parse(data) as WireFrame;
  const choice = Array.isArray(choices) ? (choices as WireFrame['choices'])?.[0] : undefined;
  if (typeof id !== 'string' || choice === undefined) return undefined;
  const content = choice.delta?.content;
  return {
    id,
    index: typeof index === 'number' ? index : undefined,
    text: typeof content === 'string' ? content : '',
    finishReason: typeof choice.finish_reason === 'string' ? choice.finish_reason : undefined,
    fingerprint: typeof fingerprint === 'string' ? fingerprint : undefined,
  };
}

function computeEnding(error: unknown): AttemptEnding {
  const { code } = error as { code?: string };
  return code !== undefined && UNSENT_CODES.includes(code) ? 'unsent' : 'broken';
}

/** What is read of the head of a response. */
interface ResponseHead {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

function mergeHeaders(fields: readonly HeaderField[]): Record<string, string[]> {
  const headers: Record<string, string[]> = {};
  for (const { name, value } of fields) {
    const key = name.toLowerCase();
    headers[key] = [...(headers[key] ?? []), value];
  }
  return headers;
}

function listHeader({ headers }: ResponseHead, name: string): string[] {
  const value = headers[name];
  if (value === undefined) return [];
  return typeof value === 'string' ? [value] : value;
}

function decodeNotice(response: ResponseHead): AvailabilityNotice {
  return {
    isLeaving: listHeader(response, LEAVING_HEADER).includes('true'),
    rest:
      response.statusCode === STATUS_UNAVAILABLE
        ? parseRetryAfter(listHeader(response, RETRY_AFTER_HEADER))
        : { kind: 'none' },
  };
}

/**
 * Returns how an attempt ended that the endpoint turned away; undefined if it did not. One that is
 * leaving says so in all responses, but only with this status is it a promise that it ran nothing.
 */
function computeTurnedAway(response: ResponseHead): AttemptEnding | undefined {
  if (response.statusCode !== STATUS_UNAVAILABLE) return undefined;
  const { isLeaving, rest } = decodeNotice(response);
  if (isLeaving) return 'leaving';
  return rest.kind === 'rest' ? 'resting' : undefined;
}

function computeStatusEnding(response: ResponseHead): AttemptEnding {
  const turnedAway = computeTurnedAway(response);
  if (turnedAway !== undefined) return turnedAway;
  const isClientError = response.statusCode >= 400 && response.statusCode < 500;
  return isClientError && response.statusCode !== 429 ? 'rejected' : 'error';
}

function buildServiceResult(head: ResponseHead, body: string): ServiceResult {
  const turnedAway = computeTurnedAway(head);
  if (turnedAway !== undefined) return { kind: 'ended', ending: turnedAway };
  if (head.statusCode >= 500) return { kind: 'ended', ending: 'error' };
  const [contentType = 'application/octet-stream'] = listHeader(head, 'content-type');
  return { kind: 'answered', answer: { status: head.statusCode, contentType, body } };
}

export function createEndpointClient(): EndpointClient {
  const pools = new Map<string, Pool>();
  const connections = createEndpointConnections();

  function getPool(url: string): Pool {
    const { origin } = new URL(url);
    const existing = pools.get(origin);
    if (existing !== undefined) return existing;
    const pool = createGuardedPool(origin, {
      connections: CONNECTIONS_MAX,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      // The request's state machine detects stalls with timeouts derived from the pool's latency.
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
    });
    pools.set(origin, pool);
    return pool;
  }

  function createFrameReader(attempt: CompletionAttempt, listener: AttemptListener) {
    let nextIndex = attempt.offset;
    let finish: { id: string; reason: string } | undefined;
    let isDone = false;
    const parser = createParser({
      onEvent(event) {
        if (event.data === DONE_EVENT_DATA) {
          isDone = finish !== undefined;
          return;
        }
        const frame = parseFrame(event.data);
        if (frame === undefined) return;
        const { id, index, text, finishReason, fingerprint } = frame;
        const isSameAttempt = id === attempt.attemptId;
        if (text !== '') {
          const position = index ?? nextIndex;
          listener.onFrame(id, position, text, fingerprint);
          // Uses the position, so that a duplicate frame does not count twice.
          if (isSameAttempt) nextIndex = Math.max(nextIndex, position + 1);
        }
        if (finishReason !== undefined && isSameAttempt) finish = { id, reason: finishReason };
      },
    });
    return {
      feed: (chunk: string) => parser.feed(chunk),
      close() {
        // Without its end marker, an answer may be truncated and is not reported as finished.
        if (isDone && finish !== undefined)
          listener.onFinished(finish.id, nextIndex, finish.reason);
        else listener.onEnded('broken');
      },
    };
  }

  async function runCompletion(
    endpoint: EndpointDeclaration,
    attempt: CompletionAttempt,
    listener: AttemptListener,
    signal: AbortSignal,
  ): Promise<void> {
    const response = await getPool(endpoint.url).request({
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { 'content-type': 'application/json', 'x-request-id': attempt.attemptId },
      body: attempt.body,
      signal,
    });
    listener.onNotice(decodeNotice(response));
    const isSameAttempt = response.headers['x-request-id'] === attempt.attemptId;
    if (response.statusCode !== 200 || !isSameAttempt) {
      await response.body.dump();
      listener.onEnded(response.statusCode === 200 ? 'broken' : computeStatusEnding(response));
      return;
    }
    const reader = createFrameReader(attempt, listener);
    const decoder = new StringDecoder('utf8');
    response.body.on('data', (chunk: Buffer) => {
      try {
        reader.feed(decoder.write(chunk));
      } catch {
        response.body.destroy(new Error('endpoint sent a frame that is not valid JSON'));
      }
    });
    await new Promise<void>((resolve, reject) => {
      response.body.on('end', resolve);
      response.body.on('error', reject);
    });
    reader.close();
  }

  /** Answers are read as those of endpoints of calls are: one that is cut or reset is not whole. */
  function runService(
    endpoint: EndpointDeclaration,
    attempt: ServiceAttempt,
    listener: ServiceListener,
  ): () => void {
    let head: ResponseHead = { statusCode: 0, headers: {} };
    const joined = createJoinedBytes();
    const closeWith = (ending: AttemptEnding): void => listener.onEnded({ kind: 'ended', ending });
    return connections.open(
      new URL(endpoint.url).origin,
      CONNECTIONS_MAX,
      {
        method: attempt.method,
        target: attempt.path,
        headers: Object.entries({ ...attempt.headers, 'x-request-id': attempt.attemptId }).map(
          ([name, value]) => ({ name, value }),
        ),
        body: attempt.body ?? Buffer.alloc(0),
      },
      {
        isSendAllowed: () => true,
        onWithheld: () => closeWith('unsent'),
        onHead(statusCode, headers) {
          head = { statusCode, headers: mergeHeaders(headers) };
          listener.onNotice(decodeNotice(head));
          return true;
        },
        onData(bytes) {
          joined.add(bytes);
          if (joined.getLength() <= SERVICE_BODY_BYTES_MAX) return true;
          closeWith('error');
          return false;
        },
        onEnd: () => listener.onEnded(buildServiceResult(head, joined.build().toString())),
        onError: (isSent) => closeWith(isSent ? 'broken' : 'unsent'),
      },
    );
  }

  return {
    startCompletion(endpoint, attempt, listener) {
      const controller = new AbortController();
      runCompletion(endpoint, attempt, listener, controller.signal).catch((error: unknown) => {
        if (!controller.signal.aborted) listener.onEnded(computeEnding(error));
      });
      return () => controller.abort();
    },
    startService: runService,
    async fetchJson(endpoint, path, body, timeoutMs, isAllowed = () => true) {
      try {
        const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
        const response = await getPool(endpoint.url).request({
          method: bytes === undefined ? 'GET' : 'POST',
          path,
          headers: {
            'content-type': 'application/json',
            ...(bytes === undefined ? {} : { 'content-length': String(bytes.length) }),
          },
          body: bytes === undefined ? null : Readable.from(listGuardedParts(bytes, isAllowed)),
          signal: AbortSignal.timeout(timeoutMs),
        });
        const text = await readText(response.body);
        return response.statusCode === 200 ? (JSON.parse(text) as unknown) : undefined;
      } catch {
        return undefined;
      }
    },
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.destroy()));
      await connections.close();
    },
  };
}
