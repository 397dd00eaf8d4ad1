/** The document by which instances agree on who holds a lease. */

/** The lease's document. */
export interface LeaseDocument {
  /** The machine that holds the lease. */
  readonly holder: string;
  readonly fence: number;
  /** Chosen anew for each write, so that a holder knows its own write again. */
  readonly writeId: string;
  /** Holders before this one, the latest first. */
  readonly earlier: readonly string[];
  /** The holder gave it up: nothing of it is on its way any more. */
  readonly isReleased: boolean;
}

/** The lease as read, with the version of its document. */
export interface ReadLease {
  readonly version: number;
  readonly document: LeaseDocument;
}

/** Completes a document that an earlier release wrote, which named neither former holders nor a release. */
export function resolveLease(
  version: number,
  document: Omit<LeaseDocument, 'earlier' | 'isReleased'> & Partial<LeaseDocument>,
): ReadLease {
  return { version, document: { earlier: [], isReleased: false, ...document } };
}
