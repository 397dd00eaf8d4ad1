/** Finds the organisation that a key names. Only hashes are kept, compared in constant time. */
import type { Declarations, OrganisationDeclaration } from '../types/declarations.js';
import { hashText, isSameDigest } from '../utils/hash.js';

/** Hex digits of a hash that choose its bucket; the rest is compared in constant time. */
const BUCKET_DIGITS = 8;

interface KnownKey {
  readonly digest: string;
  readonly organisation: OrganisationDeclaration;
}

/** Maps keys to organisations. */
export interface Authenticator {
  set(declarations: Declarations): void;
  /** The organisation of an `Authorization` header, or undefined. */
  find(authorization: string | undefined): OrganisationDeclaration | undefined;
}

/** Builds an authenticator that knows nobody. */
export function createAuthenticator(): Authenticator {
  let buckets = new Map<string, KnownKey[]>();
  return {
    set(declarations) {
      buckets = new Map();
      for (const organisation of declarations.organisations.values()) {
        for (const digest of organisation.keyHashes) {
          const bucket = digest.slice(0, BUCKET_DIGITS);
          const keys = buckets.get(bucket) ?? [];
          keys.push({ digest, organisation });
          buckets.set(bucket, keys);
        }
      }
    },
    find(authorization) {
      const key = /^Bearer (\S{1,512})$/.exec(authorization ?? '')?.[1];
      if (key === undefined) return undefined;
      const digest = hashText(key);
      const candidates = buckets.get(digest.slice(0, BUCKET_DIGITS)) ?? [];
      return candidates.find((known) => isSameDigest(known.digest, digest))?.organisation;
    },
  };
}
