import fc from 'fast-check';
import { describe } from '../test/describe.js';
import type { FeedRow } from './feed.js';
import { createTableMirror } from './table-mirror.js';
import type { TableMirror } from './table-mirror.js';

function listSorted(rows: readonly FeedRow[]): FeedRow[] {
  return rows.map(({ key, value }) => ({ key, value })).sort((a, b) => a.key.localeCompare(b.key));
}

/** Updates a follower from a watcher, as instances do. */
function applyChanges(follower: TableMirror, watcher: TableMirror): void {
  const revision = watcher.getContentRevision();
  if (revision <= follower.getContentRevision()) return;
  follower.applyFromPeer(watcher.listSince(follower.getContentRevision()), revision);
}

describe('table mirror', ({ it }) => {
  it('lists changes and removals since a revision', (t) => {
    const mirror = createTableMirror();
    mirror.setAll(
      [
        { key: 'a', value: '1' },
        { key: 'b', value: '1' },
      ],
      5,
    );
    mirror.apply([{ key: 'a', value: undefined }], 8);
    mirror.apply([], 9);
    t.is(mirror.getRevision(), 9);
    t.is(mirror.getContentRevision(), 8);
    t.deepEqual(mirror.listSince(5), {
      kind: 'changed',
      rows: [{ key: 'a', value: undefined, revision: 8 }],
    });
    t.deepEqual(mirror.listSince(8), { kind: 'changed', rows: [] });
    t.deepEqual(mirror.listSince(4), {
      kind: 'all',
      rows: [{ key: 'b', value: '1', revision: 5 }],
    });
  });

  // Guards against followers fetching the same rows once per watcher because watchers receive one
  // change in responses with different revisions.
  it('has the same content revision as another mirror with the same rows', (t) => {
    const mirrors = [9, 12].map((responseRevision) => {
      const mirror = createTableMirror();
      mirror.setAll([{ key: 'a', value: '1', revision: 3 }], 5);
      mirror.apply([{ key: 'a', value: '2', revision: 7 }], responseRevision);
      return mirror;
    });
    t.deepEqual(
      mirrors.map((mirror) => mirror.getContentRevision()),
      [7, 7],
    );
  });

  it('removes rows that are missing from a later list', (t) => {
    const mirror = createTableMirror();
    mirror.setAll([{ key: 'a', value: '1', revision: 3 }], 5);
    mirror.setAll([], 9);
    t.is(mirror.getContentRevision(), 9);
    t.deepEqual(mirror.listSince(5), { kind: 'all', rows: [] });
  });

  // Guards against calls to an endpoint that was added and removed between two lists of one
  // watcher, while another watcher announced it and died.
  it('lets a follower drop a row added and removed between two lists', (t) => {
    const [first, second, follower] = [1, 1, 1].map((revision) => {
      const mirror = createTableMirror();
      mirror.setAll([], revision);
      return mirror;
    }) as [TableMirror, TableMirror, TableMirror];
    first.apply([{ key: 'a', value: '0', revision: 2 }], 2);
    second.setAll([], 3);
    applyChanges(follower, first);
    t.deepEqual(listSorted(follower.list()), [{ key: 'a', value: '0' }]);
    applyChanges(follower, second);
    t.deepEqual(follower.list(), []);
  });

  it('keeps a bounded number of tombstones and lists all rows for older revisions', (t) => {
    const mirror = createTableMirror();
    mirror.setAll([], 1);
    for (let revision = 2; revision < 1000; revision += 1) {
      mirror.apply([{ key: `k${revision}`, value: undefined }], revision);
    }
    t.is(mirror.listSince(2).kind, 'all');
    t.is(mirror.listSince(990).rows.length, 9);
  });

  // Guards against a follower missing a removal when it asks different watchers, which receive
  // changes at different times, in different batches and partly from lists.
  it('keeps a follower of several watchers complete, whatever each has received', (t) => {
    const change = fc.record({
      key: fc.constantFrom('a', 'b', 'c', 'd'),
      isRemoved: fc.boolean(),
      /** Which watchers receive all changes so far. */
      isUpdated: fc.tuple(fc.boolean(), fc.boolean()),
      isList: fc.boolean(),
      askedWatcher: fc.nat(1),
    });
    fc.assert(
      fc.property(fc.array(change, { maxLength: 40 }), fc.boolean(), (changes, hasRevisions) => {
        const source = new Map<string, FeedRow>();
        const log: { row: FeedRow; revision: number }[] = [];
        const watchers = [createTableMirror(), createTableMirror()];
        const follower = createTableMirror();
        for (const watcher of watchers) watcher.setAll([], 1);
        const updateWatcher = (watcher: TableMirror, isList: boolean): void => {
          const revision = log.length + 1;
          const rows = [...source.values()];
          const missed = log.filter((entry) => entry.revision > watcher.getRevision());
          if (isList) watcher.setAll(rows, revision);
          else
            watcher.apply(
              missed.map(({ row }) => row),
              revision,
            );
        };
        for (const { key, isRemoved, isUpdated, isList, askedWatcher } of changes) {
          const value = isRemoved ? undefined : `${log.length}`;
          const revision = log.length + 2;
          const row: FeedRow = { key, value, ...(hasRevisions ? { revision } : {}) };
          if (value === undefined) source.delete(key);
          else source.set(key, row);
          log.push({ row, revision });
          watchers.forEach((watcher, index) => {
            if (isUpdated[index] === true) updateWatcher(watcher, isList);
          });
          applyChanges(follower, watchers[askedWatcher] as TableMirror);
        }
        updateWatcher(watchers[0] as TableMirror, false);
        applyChanges(follower, watchers[0] as TableMirror);
        t.deepEqual(listSorted(follower.list()), listSorted([...source.values()]));
      }),
      { numRuns: 500 },
    );
    t.pass();
  });
});
