/** HTTP client of the platform with AWS signature version 4 and a timeout on every call. */
import aws4 from 'aws4';
import { createGuardedPool } from '../connections/guarded-client.js';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';
import { PLATFORM_FAILURE, createPlatformError } from './platform-error.js';
import type { PlatformError } from './platform-error.js';
import { readText } from '../utils/read-text.js';

export interface SignedRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly path: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** A response with any status. */
export interface SignedResponse {
  readonly status: number;
  readonly text: string;
}

export interface SignedClientOptions {
  readonly url: string;
  readonly service: 'dynamodb' | 's3';
  readonly accessKeyId: string;
  readonly secretAccessKey: string;
  /** @default 1500 */
  readonly timeoutMs?: number;
}

export interface SignedClient {
  send(request: SignedRequest): Promise<Result<SignedResponse, PlatformError>>;
  close(): Promise<void>;
}

const DEFAULT_TIMEOUT_MS = 1500;
const CONNECTIONS_MAX = 8;
/** Errors raised before the request was sent, so that the call had no effect. */
const UNSENT_CODES = ['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'ENOTFOUND', 'EHOSTUNREACH'];

function getErrorCode(error: unknown): string {
  const { code, message } = error as { code?: string; message?: string };
  return code ?? message ?? 'unknown';
}

/** Creates a client with its own connection pool. */
export function createSignedClient(options: SignedClientOptions): SignedClient {
  const { origin, host } = new URL(options.url);
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const pool = createGuardedPool(origin, {
    connections: CONNECTIONS_MAX,
    connectTimeout: timeoutMs,
  });

  function buildHeaders(request: SignedRequest): Record<string, string> {
    const signed = aws4.sign(
      {
        host,
        method: request.method,
        path: request.path,
        service: options.service,
        region: 'platform',
        ...(request.body === undefined ? {} : { body: request.body }),
        headers: { ...request.headers },
      },
      { accessKeyId: options.accessKeyId, secretAccessKey: options.secretAccessKey },
    );
    return signed.headers as Record<string, string>;
  }

  return {
    async send(request) {
      try {
        const response = await pool.request({
          method: request.method,
          path: request.path,
          headers: buildHeaders(request),
          body: request.body ?? null,
          // Ends calls on a half-open connection, which neither responds nor fails; undici closes the
          // connection as well.
          signal: AbortSignal.timeout(timeoutMs),
        });
        return Ok({ status: response.statusCode, text: await readText(response.body) });
      } catch (error) {
        const code = getErrorCode(error);
        const isUnsent = UNSENT_CODES.includes(code);
        return Err(
          createPlatformError(
            isUnsent ? PLATFORM_FAILURE.Rejected : PLATFORM_FAILURE.Ambiguous,
            `no response from ${options.service} at ${options.url} (${code}); check the platform, then try again`,
          ),
        );
      }
    },
    close: () => pool.destroy(),
  };
}
