/**
 * Shared state of the duties: versioned documents with conditional, atomic multi-document writes.
 */

export const DUTY_KEY = {
  Lease: 'lease',
  /** Fleet time at 0 of the source clock. */
  Epoch: 'epoch',
  /** The scale requests last decided on. */
  Orders: 'orders',
  /** The newest usage window whose counts are committed. */
  UsageThrough: 'usage-through',
} as const;

/** Key prefix of committed counts that are not reported yet. */
export const USAGE_PREFIX = 'usage/';

/** A stored document. */
export interface DutyRow {
  readonly key: string;
  readonly version: number;
  readonly text: string;
}

/** All documents at one point in time. */
export interface DutySnapshot {
  readonly rows: readonly DutyRow[];
  /** Upper bound of the versions of all documents. */
  readonly newestVersion: number;
  /** The store's monotonic clock at the time of the response. */
  readonly sourceMs: number;
}

/** A conditional write of several documents. */
export interface DutyChange {
  /** Required versions; 0 requires that the document does not exist. */
  readonly expected: readonly { readonly key: string; readonly version: number }[];
  readonly writes: readonly { readonly key: string; readonly text: string }[];
  readonly removes: readonly string[];
}

/** Outcome of a change. */
export type DutyWriteResult =
  /** `version`: shared by all documents written. */
  | { readonly kind: 'written'; readonly version: number }
  /** `rows`: the current documents among those expected. */
  | { readonly kind: 'conflict'; readonly rows: readonly DutyRow[] }
  /** No response: the change may have been applied, or may still be. */
  | { readonly kind: 'lost' };

export interface DutyStore {
  /** Undefined if the store does not respond. */
  read(): Promise<DutySnapshot | undefined>;
  write(change: DutyChange): Promise<DutyWriteResult>;
}

export function findRow(rows: readonly DutyRow[], key: string): DutyRow | undefined {
  return rows.find((row) => row.key === key);
}
