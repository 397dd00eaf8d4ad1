/**
 * Identifies the content of a call, so that a repeated request is recognised under another call id, at
 * another instance or with another key of the same organisation.
 */
import { createHash } from 'node:crypto';

/** Hash of a call's content; the same on all instances. */
export type ContentId = string;

/** What makes two calls the same request. */
export interface CallContent {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** Undefined on public routes. */
  readonly organisation: string | undefined;
  readonly body: Buffer;
}

/** 64 bits of a cryptographic hash, so that an organisation cannot find a collision with another's content. */
const ID_DIGITS = 16;

/** Returns a getter that computes the id on first use, since most calls never need it. */
export function createContentIdGetter(content: CallContent): () => ContentId {
  let id: ContentId | undefined;
  return () => {
    id ??= hashContent(content);
    return id;
  };
}

/** Hashes a content. The fields before the body are encoded as JSON to keep their boundaries unambiguous. */
export function hashContent(content: CallContent): ContentId {
  const { method, host, target, organisation, body } = content;
  return createHash('sha256')
    .update(JSON.stringify([method, host, target, organisation ?? null]))
    .update(body)
    .digest('hex')
    .slice(0, ID_DIGITS);
}
