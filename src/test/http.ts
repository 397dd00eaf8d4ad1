/** HTTP requests to stand-ins and routers in tests. */
import { request } from 'undici';
import type { RouterStatus } from '../types/router-status.js';
import { TEST_SECRET } from './processes.js';

export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
  /** The parsed body, or undefined if it is not JSON. */
  readonly json: unknown;
}

export interface RequestOptions {
  /** @default 'POST' with a body, otherwise 'GET' */
  readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Sends a request and reads the whole response, whatever its status. */
export async function sendRequest(
  url: string,
  options: RequestOptions = {},
): Promise<HttpResponse> {
  const response = await request(url, {
    method: options.method ?? (options.body === undefined ? 'GET' : 'POST'),
    headers: { ...options.headers },
    body: options.body ?? null,
  });
  const text = await response.body.text();
  return { status: response.statusCode, headers: response.headers, text, json: parseJson(text) };
}

/** Updates the injected faults of a stand-in process. */
export async function setFaults(url: string, faults: object): Promise<void> {
  await sendRequest(`${url}/faults`, {
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(faults),
  });
}

export async function fetchStatus(operatorsUrl: string): Promise<RouterStatus> {
  const response = await sendRequest(`${operatorsUrl}/status`, {
    headers: { authorization: `Bearer ${TEST_SECRET}` },
  });
  return response.json as RouterStatus;
}

/** Polls every 50 ms until a condition holds; throws after `attemptsMax` polls. */
export async function waitFor(
  condition: string,
  isMet: () => Promise<boolean> | boolean,
  attemptsMax = 400,
): Promise<void> {
  for (let attempt = 0; attempt < attemptsMax; attempt += 1) {
    // Each poll follows the one before.
    // eslint-disable-next-line no-await-in-loop
    if (await isMet()) return;
    // The delay separates two polls.
    // eslint-disable-next-line no-await-in-loop
    await new Promise<void>((resolve) => {
      setTimeout(resolve, 50);
    });
  }
  throw new Error(`timed out waiting for condition: ${condition}`);
}
