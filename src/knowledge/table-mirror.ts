/**
 * The rows of one table as this instance holds them, with the revision at which each last changed, so
 * that peers which follow this instance are told no more than what they lack.
 */
import type { FeedRow } from './feed.js';

/** Removed rows that are remembered: a follower that lacks an older removal gets every row. */
const REMOVED_MAX = 512;

/** What somebody who knows everything up to a revision lacks. */
export type MirrorChanges =
  /** Every row there is; what is missing does not exist. */
  | { readonly kind: 'all'; readonly rows: readonly FeedRow[] }
  /** Rows that changed or were removed since. */
  | { readonly kind: 'changed'; readonly rows: readonly FeedRow[] };

/** Rows in hand. */
export interface TableMirror {
  setAll(rows: readonly FeedRow[], revision: number): void;
  apply(rows: readonly FeedRow[], revision: number): void;
  /** Everything up to this revision is in the rows; 0 before the first list. */
  getRevision(): number;
  /** The revision at which the rows last changed: equal on two instances only if their rows are. */
  getContentRevision(): number;
  list(): readonly FeedRow[];
  listSince(revision: number): MirrorChanges;
}

interface MirrorEntry {
  readonly row: FeedRow;
  readonly revision: number;
}

/** Builds an empty mirror. */
export function createTableMirror(): TableMirror {
  const entries = new Map<string, MirrorEntry>();
  /** Removed rows, the one removed last at the end. */
  const removed = new Map<string, MirrorEntry>();
  /** Removals up to this revision are forgotten. */
  let forgottenRevision = 0;
  let revisionInHand = 0;
  let contentRevision = 0;

  function removeRow(row: FeedRow, revision: number): void {
    entries.delete(row.key);
    removed.delete(row.key);
    removed.set(row.key, { row: { key: row.key, value: undefined }, revision });
    if (removed.size <= REMOVED_MAX) return;
    const [oldest] = removed.values();
    if (oldest === undefined) return;
    removed.delete(oldest.row.key);
    forgottenRevision = oldest.revision;
  }

  function applyRow(row: FeedRow, revision: number): void {
    if (row.value === undefined) {
      removeRow(row, revision);
      return;
    }
    removed.delete(row.key);
    entries.set(row.key, { row, revision });
  }

  function listRows(): FeedRow[] {
    return [...entries.values()].map(({ row }) => row);
  }

  return {
    setAll(listed, revision) {
      entries.clear();
      removed.clear();
      // What was removed before the list is not known: whoever has less gets every row.
      forgottenRevision = revision;
      for (const row of listed) applyRow(row, revision);
      revisionInHand = revision;
      contentRevision = revision;
    },
    apply(changed, revision) {
      for (const row of changed) applyRow(row, revision);
      revisionInHand = Math.max(revisionInHand, revision);
      if (changed.length > 0) contentRevision = Math.max(contentRevision, revision);
    },
    getRevision: () => revisionInHand,
    getContentRevision: () => contentRevision,
    list: listRows,
    listSince(revision) {
      if (revision < forgottenRevision) return { kind: 'all', rows: listRows() };
      const changed = [...entries.values(), ...removed.values()];
      return {
        kind: 'changed',
        rows: changed.filter((entry) => entry.revision > revision).map(({ row }) => row),
      };
    },
  };
}
