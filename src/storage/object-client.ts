/** Client of the platform's object store (S3 REST protocol, path-style addressing). */
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';
import { PLATFORM_FAILURE, createPlatformError } from './platform-error.js';
import type { PlatformError } from './platform-error.js';
import type { SignedClient } from './signed-client.js';

/** Access to immutable objects by name. */
export interface ObjectClient {
  get(name: string): Promise<Result<string | undefined, PlatformError>>;
  store(name: string, text: string): Promise<Result<void, PlatformError>>;
}

export function createObjectClient(client: SignedClient, bucket: string): ObjectClient {
  const createRejection = (verb: string, status: number): PlatformError =>
    createPlatformError(
      PLATFORM_FAILURE.Rejected,
      `${verb}: the object store responded with status ${status}; try again later`,
    );
  return {
    async get(name) {
      const response = await client.send({ method: 'GET', path: `/${bucket}/${name}` });
      if (response.err) return response;
      if (response.val.status === 404) return Ok(undefined);
      if (response.val.status !== 200)
        return Err(createRejection('GetObject', response.val.status));
      return Ok(response.val.text);
    },
    async store(name, text) {
      const response = await client.send({
        method: 'PUT',
        path: `/${bucket}/${name}`,
        body: text,
        headers: { 'content-type': 'application/octet-stream' },
      });
      if (response.err) return response;
      if (response.val.status !== 200)
        return Err(createRejection('PutObject', response.val.status));
      return Ok(undefined);
    },
  };
}
