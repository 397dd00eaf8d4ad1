/**
 * Names what a call asks for, so that it is known again when it comes anew under another id, at any
 * instance and with another key of the same organisation.
 */
import { createHash } from 'node:crypto';

/** Names the content of a call: equal contents have equal ids on all instances. */
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

/** Hex digits of an id: 64 bits of a cryptographic hash, so that no organisation can meet another's by trying. */
const ID_DIGITS = 16;

/** Names a content when somebody first asks for it: most calls are over before anybody does. */
export function createContentIdGetter(content: CallContent): () => ContentId {
  let id: ContentId | undefined;
  return () => {
    id ??= hashContent(content);
    return id;
  };
}

/** Names a content. The fields before the body are joined as JSON, where none can run into the next. */
export function hashContent(content: CallContent): ContentId {
  const { method, host, target, organisation, body } = content;
  return createHash('sha256')
    .update(JSON.stringify([method, host, target, organisation ?? null]))
    .update(body)
    .digest('hex')
    .slice(0, ID_DIGITS);
}
