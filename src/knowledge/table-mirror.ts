/**
 * The rows of one table as this instance holds them, with the revision at which each last changed, so
 * that peers which follow this instance are told no more than what they lack.
 */
import type { FeedRow } from './feed.js';

/** Removed rows that are remembered: a follower that lacks an older removal gets every row. */
const TOMBSTONES_MAX = 512;

/** A row as it is held and passed on. */
export interface MirroredRow extends FeedRow {
  readonly revision: number;
}

/** What somebody who knows everything up to a revision lacks. */
export type MirrorChanges =
  /** Every row there is; what is missing does not exist. */
  | { readonly kind: 'all'; readonly rows: readonly MirroredRow[] }
  /** Rows that changed or were removed since. */
  | { readonly kind: 'changed'; readonly rows: readonly MirroredRow[] };

/** Rows in hand. */
export interface TableMirror {
  /** Takes every row there is as of a revision of the source. */
  setAll(rows: readonly FeedRow[], revision: number): void;
  /** Takes what changed up to a revision of the source. */
  apply(rows: readonly FeedRow[], revision: number): void;
  /** Takes what another instance, whose rows last changed at a revision, says that this one lacks. */
  applyTold(changes: MirrorChanges, contentRevision: number): void;
  /** Everything up to this revision is in the rows; 0 before the first list. */
  getRevision(): number;
  /** The revision at which the rows last changed: whoever knows everything up to it lacks nothing. */
  getContentRevision(): number;
  list(): readonly MirroredRow[];
  listSince(revision: number): MirrorChanges;
}

/** Builds an empty mirror. */
export function createTableMirror(): TableMirror {
  const rows = new Map<string, MirroredRow>();
  /** Removed rows, the one removed last at the end. */
  const tombstones = new Map<string, MirroredRow>();
  /** Removals up to this revision are forgotten. */
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

  /** The row's own revision is the same at every instance; that of an answer is where the answer ends. */
  function applyRow(row: FeedRow, responseRevision: number): void {
    const { key, revision = responseRevision } = row;
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
    // What came and went since the list before is not known: whoever has less gets every row.
    compactedRevision = currentRevision;
    // Guards against a row that came and went between two lists of this instance, while another heard of
    // its coming and has since died: it shows as an endpoint that is gone and still gets calls of those
    // whom that one told. A list is news to all, so that they ask once more.
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
    applyTold(changes, revision) {
      if (changes.kind === 'all') setAll(changes.rows, revision);
      else apply(changes.rows, revision);
      contentRevision = Math.max(contentRevision, revision);
    },
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
