/** Client of the platform's instance list, which is eventually consistent. */
import { request } from 'undici';
import { z } from 'zod';
import { createGuardedAgent } from '../connections/guarded-client.js';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';
import { PLATFORM_FAILURE, createPlatformError } from './platform-error.js';
import type { PlatformError } from './platform-error.js';
import { parseAddress } from '../utils/address.js';
import { readText } from '../utils/read-text.js';

const LIST_TIMEOUT_MS = 1500;

export const LISTED_STATE = { Live: 'live', Leaving: 'leaving' } as const;

const listedInstanceSchema = z.object({
  name: z.string().min(1),
  address: z.string().refine((text) => parseAddress(text) !== undefined, 'no host and port'),
  dataCentre: z.string().min(1),
  state: z.enum([LISTED_STATE.Live, LISTED_STATE.Leaving]),
});

export type ListedInstance = z.infer<typeof listedInstanceSchema>;

/** Undefined if the text is no JSON list. */
function parseEntries(text: string): readonly unknown[] | undefined {
  try {
    const parsed: unknown = JSON.parse(text);
    return Array.isArray(parsed) ? parsed : undefined;
  } catch {
    return undefined;
  }
}

/** Guards against one odd entry that hides all others; gossip still finds the instance that it is of. */
function isListedInstance(entry: unknown): entry is ListedInstance {
  return listedInstanceSchema.safeParse(entry).success;
}

export interface InstanceListClient {
  list(): Promise<Result<readonly ListedInstance[], PlatformError>>;
  /** Registers this instance; the platform removes it some time after the last call. */
  register(instance: ListedInstance): Promise<Result<void, PlatformError>>;
}

export function createInstanceListClient(url: string, token: string): InstanceListClient {
  const dispatcher = createGuardedAgent();
  const headers = { authorization: `Bearer ${token}`, 'content-type': 'application/json' };

  async function send(
    method: 'GET' | 'PUT',
    path: string,
    body: string | null,
  ): Promise<Result<string, PlatformError>> {
    try {
      const signal = AbortSignal.timeout(LIST_TIMEOUT_MS);
      const options = { method, headers, body, signal, dispatcher };
      const response = await request(`${url}${path}`, options);
      const text = await readText(response.body);
      if (response.statusCode === 200) return Ok(text);
      return Err(
        createPlatformError(
          PLATFORM_FAILURE.Rejected,
          `the instance list responded with status ${response.statusCode}; check the platform token`,
        ),
      );
    } catch {
      return Err(
        createPlatformError(
          PLATFORM_FAILURE.Ambiguous,
          `no response from the instance list at ${url}; continuing with the known peers`,
        ),
      );
    }
  }

  return {
    async list() {
      const result = await send('GET', '/instances', null);
      if (result.err) return result;
      const entries = parseEntries(result.val);
      if (entries !== undefined) return Ok(entries.filter(isListedInstance));
      return Err(
        createPlatformError(
          PLATFORM_FAILURE.Rejected,
          'the instance list is no list; check the platform version',
        ),
      );
    },
    async register(instance) {
      const result = await send('PUT', `/instances/${instance.name}`, JSON.stringify(instance));
      return result.map(() => undefined);
    },
  };
}
