/** The stored document that records who holds a lease. */

export interface LeaseDocument {
  /** Machine name of the holder. */
  readonly holder: string;
  readonly fence: number;
  /** Unique per write, so that a holder recognises its own write when it reads the document. */
  readonly writeId: string;
  /** Previous holders, most recent first. */
  readonly earlier: readonly string[];
  /** The holder released the lease and has no calls in flight. */
  readonly isReleased: boolean;
}

/** A lease document with its stored version. */
export interface VersionedLease {
  readonly version: number;
  readonly document: LeaseDocument;
}

/** Adds defaults for fields that earlier releases did not write. */
export function applyLeaseDefaults(
  version: number,
  document: Omit<LeaseDocument, 'earlier' | 'isReleased'> & Partial<LeaseDocument>,
): VersionedLease {
  return { version, document: { earlier: [], isReleased: false, ...document } };
}
