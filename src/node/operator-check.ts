/** Authenticates operators by their shared secret. */
import type { RequestHandler } from 'express';
import { hashText, isSameDigest } from '../utils/hash.js';

/** Creates middleware that answers requests without the secret with status 401. */
export function createOperatorCheck(secret: string): RequestHandler {
  const expected = hashText(`Bearer ${secret}`);
  return (request, response, next) => {
    const given = hashText(request.get('authorization') ?? '');
    if (isSameDigest(given, expected)) {
      next();
      return;
    }
    const message = 'the operators’ secret is missing or wrong; send Authorization: Bearer SECRET';
    response.status(401).json({ error: { type: 'unauthenticated', message } });
  };
}
