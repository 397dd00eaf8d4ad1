/**
 * Local copy of a table with the revision of each row's last change, so that peers are sent only
 * the rows that they lack.
 */
import type { FeedRow } from './feed.js';

/** Limit of the tombstones kept; a follower that lacks an older removal is sent all rows. */
const TOMBSTONES_MAX = 512;

export interface MirroredRow extends FeedRow {
  readonly revision: number;
}

/** What changed after a revision. */
export type MirrorChanges =
  /** All rows; a row that is missing does not exist. */
  | { readonly kind: 'all'; readonly rows: readonly MirroredRow[] }
  /** Rows changed or removed since. */
  | { readonly kind: 'changed'; readonly rows: readonly MirroredRow[] };

export interface TableMirror {
  /** Replaces all rows by a list at a revision. */
  setAll(rows: readonly FeedRow[], revision: number): void;
  /** Applies all changes up to a revision. */
  apply(rows: readonly FeedRow[], revision: number): void;
  /** Applies changes from a peer whose rows last changed at a revision. */
  applyFromPeer(changes: MirrorChanges, contentRevision: number): void;
  /** Records that no row changed after `contentRevision`, up to a revision; without effect on other contents. */
  recordUnchanged(contentRevision: number, revision: number): void;
  /** Whether the row is there, as far as is known. */
  hasKey(key: string): boolean;
  /** All changes up to this revision are included; 0 before the first list. */
  getRevision(): number;
  /** Revision of the last change to any row. */
  getContentRevision(): number;
  list(): readonly MirroredRow[];
  listSince(revision: number): MirrorChanges;
}

export function createTableMirror(): TableMirror {
  const rows = new Map<string, MirroredRow>();
  /** Tombstones in order of removal. */
  const tombstones = new Map<string, MirroredRow>();
  /** Changes since an earlier revision are incomplete: followers behind it get all rows. */
  let compactedRevision = 0;
  let currentRevision = 0;
  let contentRevision = 0;

  function removeRow(key: string, revision: number): void {
    rows.delete(key);
    tombstones.delete(key);
    tombstones.set(key, { key, value: undefined, revision });
    if (tombstones.size <= TOMBSTONES_MAX) return;
    const [oldest] = tombstones.values();
    if (oldest === undefined) return;
    tombstones.delete(oldest.key);
    compactedRevision = oldest.revision;
  }

  /** A row's own revision is the same on every instance; that of a response is not. */
  function applyRow(row: FeedRow, responseRevision: number): void {
    const { key } = row;
    // Guards against hiding earlier changes that the response lacks: a later page of a list may be newer.
    const revision = Math.min(row.revision ?? responseRevision, responseRevision);
    contentRevision = Math.max(contentRevision, revision);
    if (row.value === undefined) {
      removeRow(key, revision);
      return;
    }
    tombstones.delete(key);
    rows.set(key, { ...row, revision });
  }

  function isUnchanged(row: FeedRow): boolean {
    const known = rows.get(row.key);
    if (known === undefined) return false;
    return row.revision === undefined ? known.value === row.value : known.revision === row.revision;
  }

  function setAll(listed: readonly FeedRow[], revision: number): void {
    currentRevision = Math.max(currentRevision, revision);
    // Rows added and removed since the previous list are unknown.
    compactedRevision = currentRevision;
    // Guards against calls to an endpoint that was added and removed between two lists of this
    // instance, while another watcher announced it and died. The new revision makes followers fetch
    // the list.
    contentRevision = Math.max(contentRevision, revision);
    const keys = new Set(listed.map(({ key }) => key));
    const missingKeys = [...rows.keys()].filter((key) => !keys.has(key));
    for (const key of missingKeys) applyRow({ key, value: undefined }, revision);
    for (const row of listed) if (!isUnchanged(row)) applyRow(row, revision);
  }

  function apply(changed: readonly FeedRow[], revision: number): void {
    for (const row of changed) applyRow(row, revision);
    currentRevision = Math.max(currentRevision, revision);
  }

  return {
    setAll,
    apply,
    applyFromPeer(changes, revision) {
      if (changes.kind === 'all') setAll(changes.rows, revision);
      else apply(changes.rows, revision);
      contentRevision = Math.max(contentRevision, revision);
    },
    recordUnchanged(content, revision) {
      if (content === contentRevision) currentRevision = Math.max(currentRevision, revision);
    },
    hasKey: (key) => rows.has(key),
    getRevision: () => currentRevision,
    getContentRevision: () => contentRevision,
    list: () => [...rows.values()],
    listSince(revision) {
      if (revision < compactedRevision) return { kind: 'all', rows: [...rows.values()] };
      const known = [...rows.values(), ...tombstones.values()];
      return { kind: 'changed', rows: known.filter((row) => row.revision > revision) };
    },
  };
}
