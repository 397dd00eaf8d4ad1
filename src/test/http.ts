/** Short calls of stand-ins and routers in tests. */
import { request } from 'undici';
import type { RouterStatus } from '../types/router-status.js';
import { TEST_SECRET } from './processes.js';

/** An answer of any status, parsed when it is JSON. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
  readonly json: unknown;
}

/** Options of a call. */
export interface RequestOptions {
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

/** Sends one call and reads the answer to its end. */
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

/** Switches faults of a stand-in process on or off. */
export async function setFaults(url: string, faults: object): Promise<void> {
  await sendRequest(`${url}/faults`, {
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(faults),
  });
}

/** A router's status. */
export async function fetchStatus(operatorsUrl: string): Promise<RouterStatus> {
  const response = await sendRequest(`${operatorsUrl}/status`, {
    headers: { authorization: `Bearer ${TEST_SECRET}` },
  });
  return response.json as RouterStatus;
}

/** Asks again until a condition holds; throws naming it when it never does. */
export async function waitFor(
  condition: string,
  isMet: () => Promise<boolean> | boolean,
  attemptsMax = 400,
): Promise<void> {
  for (let attempt = 0; attempt < attemptsMax; attempt += 1) {
    // eslint-disable-next-line no-await-in-loop
    if (await isMet()) return;
    // eslint-disable-next-line no-await-in-loop
    await new Promise<void>((resolve) => {
      setTimeout(resolve, 50);
    });
  }
  throw new Error(`never came about: ${condition}`);
}
