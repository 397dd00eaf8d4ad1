/** The rows of one table as this instance holds them, kept to be handed to peers that cannot ask the source. */
import type { FeedRow } from './feed.js';

/** Rows in hand. */
export interface TableMirror {
  setAll(rows: readonly FeedRow[], revision: number): void;
  apply(rows: readonly FeedRow[], revision: number): void;
  /** 0 before the first list. */
  getRevision(): number;
  list(): readonly FeedRow[];
}

/** Builds an empty mirror. */
export function createTableMirror(): TableMirror {
  const rows = new Map<string, FeedRow>();
  let revisionInHand = 0;

  function applyRows(changed: readonly FeedRow[]): void {
    for (const row of changed) {
      if (row.value === undefined) rows.delete(row.key);
      else rows.set(row.key, row);
    }
  }

  return {
    setAll(listed, revision) {
      rows.clear();
      applyRows(listed);
      revisionInHand = revision;
    },
    apply(changed, revision) {
      applyRows(changed);
      revisionInHand = revision;
    },
    getRevision: () => revisionInHand,
    list: () => [...rows.values()],
  };
}
