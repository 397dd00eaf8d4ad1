/** Where what duties agree on is kept: documents under keys, written under conditions, all or none. */

/** Keys of the documents. */
export const DUTY_KEY = {
  Lease: 'lease',
  /** The moment of the source's clock that the fleet has agreed on. */
  Epoch: 'epoch',
  /** What was ordered last. */
  Orders: 'orders',
  /** The newest window of usage whose counts are fixed. */
  UsageThrough: 'usage-through',
} as const;

/** Keys of fixed counts that are not reported yet begin so. */
export const USAGE_PREFIX = 'usage/';

/** A document as it is kept. */
export interface DutyRow {
  readonly key: string;
  readonly version: number;
  readonly text: string;
}

/** Every document as of one moment. */
export interface DutySnapshot {
  readonly rows: readonly DutyRow[];
  /** Nothing in the store is newer. */
  readonly newestVersion: number;
  /** The store's steady clock when it answered. */
  readonly sourceMs: number;
}

/** A change of several documents. */
export interface DutyChange {
  /** Versions that documents must have; 0 where there must be none. */
  readonly expected: readonly { readonly key: string; readonly version: number }[];
  readonly writes: readonly { readonly key: string; readonly text: string }[];
  readonly removes: readonly string[];
}

/** What became of a change. */
export type DutyWriteResult =
  /** `version`: of all documents that it wrote. */
  | { readonly kind: 'written'; readonly version: number }
  /** `rows`: the expected documents as they are. */
  | { readonly kind: 'conflict'; readonly rows: readonly DutyRow[] }
  /** No answer: it may have been done, or may be done later. */
  | { readonly kind: 'lost' };

/** The store. */
export interface DutyStore {
  /** Undefined where it does not answer. */
  read(): Promise<DutySnapshot | undefined>;
  write(change: DutyChange): Promise<DutyWriteResult>;
}

/** Finds a document. */
export function findRow(rows: readonly DutyRow[], key: string): DutyRow | undefined {
  return rows.find((row) => row.key === key);
}
