/** Interface to a versioned feed of table rows. */

/** A row; `value` is undefined if the row was removed. */
export interface FeedRow {
  readonly key: string;
  readonly value: string | undefined;
  /** Source revision of the row's last change; undefined if the source does not report it. */
  readonly revision?: number;
}

/** A response to a list or watch call. */
export type FeedResponse =
  | {
      readonly kind: 'rows';
      readonly rows: readonly FeedRow[];
      /** All changes up to this revision are included in the rows received so far. */
      readonly revision: number;
      /** The source's monotonic clock when it answered. */
      readonly sourceNowMs: number;
      /** When the call was sent, on this process's monotonic clock. */
      readonly sentMs: number;
    }
  /** Changes since the requested revision are no longer kept; list again. */
  | { readonly kind: 'compacted' }
  /** No response, or an error. */
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Reads one table of the source. */
export interface FeedReader {
  /** All rows at one revision. */
  list(): Promise<FeedResponse>;
  /** Changes after a revision; returns at the first change or after `waitMs` without one. */
  watch(revision: number, waitMs: number): Promise<FeedResponse>;
  /** Aborts calls in progress and closes their connection. */
  reset(): void;
}
