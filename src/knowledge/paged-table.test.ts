import fc from 'fast-check';
import { describe } from '../test/describe.js';
import type { FeedRow } from './feed.js';
import { createTableMirror } from './table-mirror.js';
import type { TableMirror } from './table-mirror.js';

const KEYS = ['a', 'b', 'c', 'd'];
/** Keys from this one on are on the second page. */
const SECOND_PAGE = 'c';
const CHANGES_MAX = 8;

function listSorted(rows: readonly FeedRow[]): FeedRow[] {
  return rows.map(({ key, value }) => ({ key, value })).sort((a, b) => a.key.localeCompare(b.key));
}

/** Updates a follower from a watcher, as instances do. */
function applyChanges(follower: TableMirror, watcher: TableMirror): void {
  const revision = watcher.getContentRevision();
  if (revision <= follower.getContentRevision()) return;
  follower.applyFromPeer(watcher.listSince(follower.getContentRevision()), revision);
}

interface Change {
  readonly key: string;
  readonly isRemoved: boolean;
}

/** A table of the source whose changes are all kept. */
function createSource() {
  const rows = new Map<string, FeedRow>();
  const log: FeedRow[] = [];
  return {
    change({ key, isRemoved }: Change): void {
      const revision = log.length + 1;
      const row = { key, value: isRemoved ? undefined : `${revision}`, revision };
      log.push(row);
      if (isRemoved) rows.delete(key);
      else rows.set(key, row);
    },
    getRevision: () => log.length,
    list: (): FeedRow[] => [...rows.values()],
    listSince: (revision: number): readonly FeedRow[] => log.slice(revision),
  };
}

describe('mirror of a table that is listed in pages', ({ it }) => {
  // Guards against a peer's newer confirmation that is taken for one of a list with newer rows.
  it('is confirmed by a peer only if that knows no later change than the list', (t) => {
    const mirror = createTableMirror();
    mirror.setAll([{ key: 'z', value: '1', revision: 12 }], 10);
    mirror.recordUnchanged(12, 15);
    t.is(mirror.getRevision(), 10, 'the changes after the list would never be asked for');
    mirror.recordUnchanged(10, 11);
    t.is(mirror.getRevision(), 11);
  });

  // Guards against followers that miss a change, a removal or a new row between two pages.
  it('tells followers all changes, whatever changes between the pages', (t) => {
    const changes = fc.array(
      fc.record({ key: fc.constantFrom(...KEYS), isRemoved: fc.boolean() }),
      { maxLength: CHANGES_MAX },
    );
    fc.assert(
      fc.property(changes, changes, changes, (before, between, after) => {
        const source = createSource();
        const watcher = createTableMirror();
        const follower = createTableMirror();
        source.change({ key: 'a', isRemoved: false });
        watcher.setAll(source.list(), source.getRevision());
        applyChanges(follower, watcher);
        for (const change of before) source.change(change);
        const listRevision = source.getRevision();
        const firstPage = source.list().filter(({ key }) => key < SECOND_PAGE);
        for (const change of between) source.change(change);
        const secondPage = source.list().filter(({ key }) => key >= SECOND_PAGE);
        watcher.setAll([...firstPage, ...secondPage], listRevision);
        t.is(watcher.getContentRevision(), listRevision);
        applyChanges(follower, watcher);
        for (const change of after) source.change(change);
        for (const row of source.listSince(listRevision)) {
          watcher.apply([row], row.revision ?? 0);
          applyChanges(follower, watcher);
        }
        t.deepEqual(listSorted(watcher.list()), listSorted(source.list()));
        t.deepEqual(listSorted(follower.list()), listSorted(source.list()));
      }),
      { numRuns: 500 },
    );
  });
});
