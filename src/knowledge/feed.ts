/** What a versioned feed of rows gives: lists, changes and its refusals. */

/** A row; `value` is undefined where the row was removed. */
export interface FeedRow {
  readonly key: string;
  readonly value: string | undefined;
  /** The source's revision at which the row last changed; undefined where the source does not say. */
  readonly revision?: number;
}

/** One answer of the feed's source. */
export type FeedAnswer =
  | {
      readonly kind: 'rows';
      readonly rows: readonly FeedRow[];
      /** Everything up to this revision is in the rows seen so far. */
      readonly revision: number;
      /** The source's steady clock when it answered. */
      readonly sourceNowMs: number;
      /** When the call was sent, on this process's monotonic clock. */
      readonly sentMs: number;
    }
  /** The changes since the revision are no longer kept; list anew. */
  | { readonly kind: 'compacted' }
  /** No answer, or a refusal. */
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Reads one table of the source. */
export interface FeedReader {
  /** Every row as of one moment. */
  list(): Promise<FeedAnswer>;
  /** Changes after a revision, as soon as there is one or after `waitMs` milliseconds without. */
  watch(revision: number, waitMs: number): Promise<FeedAnswer>;
  /** Gives up calls under way and their connection. */
  reset(): void;
}
