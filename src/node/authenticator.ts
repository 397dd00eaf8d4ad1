/** Finds the organisation of an API key. Stores only hashes and compares them in constant time. */
import type { Declarations, OrganisationDeclaration } from '../types/declarations.js';
import { hashText, isSameDigest } from '../utils/hash.js';

/** Leading hex digits of a hash that select its bucket. */
const BUCKET_DIGITS = 8;

interface KnownKey {
  readonly digest: string;
  readonly organisation: OrganisationDeclaration;
}

export interface Authenticator {
  set(declarations: Declarations): void;
  /** The organisation of an `Authorization` header, or undefined. */
  find(authorization: string | undefined): OrganisationDeclaration | undefined;
}

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
