/** Sends requests to the operator port of a router. */
import { request } from 'undici';
import { EXIT_CODE } from './command-line.js';
import type { ExitCode } from './command-line.js';

const RESPONSE_TIMEOUT_MS = 5000;
const STATUS_OK = 200;

export interface RouterRequest {
  /** Name of the program, for error messages. */
  readonly name: string;
  readonly url: string;
  readonly path: string;
  readonly secret: string;
  /** JSON body of a POST request; absent for GET. */
  readonly body?: object;
}

export type RouterResponse =
  | { readonly kind: 'answered'; readonly body: unknown }
  | { readonly kind: 'failed'; readonly exitCode: ExitCode };

/** Sends one request; prints errors to standard error. */
export async function queryRouter(routerRequest: RouterRequest): Promise<RouterResponse> {
  const { name, url, path, secret, body } = routerRequest;
  try {
    const response = await request(`${url}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: { authorization: `Bearer ${secret}`, 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    const text = await response.body.text();
    if (response.statusCode === STATUS_OK) return { kind: 'answered', body: JSON.parse(text) };
    process.stderr.write(
      `${name}: the router responded with status ${response.statusCode}: ${text}\n`,
    );
    return { kind: 'failed', exitCode: EXIT_CODE.Failed };
  } catch {
    process.stderr.write(
      `${name}: no response from ${url}; check --router and whether the router is running\n`,
    );
    return { kind: 'failed', exitCode: EXIT_CODE.Unavailable };
  }
}
