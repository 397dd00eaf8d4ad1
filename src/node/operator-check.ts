/** Lets in who holds the operators' secret. */
import type { RequestHandler } from 'express';
import { hashText, isSameDigest } from '../utils/hash.js';

/** Builds the check; it answers 401 to everybody else. */
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
