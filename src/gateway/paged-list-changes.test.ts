import type { FeedRow } from '../knowledge/feed.js';
import { describe } from '../test/describe.js';
import { SIMULATED_DECODER } from '../test/knowledge-harness.js';
import { createEndpointKnowledge } from './endpoint-knowledge.js';

const LIST_REVISION = 10;

function createWatcher() {
  const ended: string[] = [];
  const gaps: boolean[] = [];
  const knowledge = createEndpointKnowledge({
    log: { write: () => undefined },
    getNow: () => 0,
    decodeEndpoint: (row) => SIMULATED_DECODER.decodeEndpoint(row),
    onEndpointStarted: () => undefined,
    onEndpointEnded: ({ id }) => ended.push(id),
    onEndpointsApplied: (isGap) => gaps.push(isGap),
  });
  const times = { sourceNowMs: 0, sentMs: 0 };
  return {
    knowledge,
    ended,
    gaps,
    list: (rows: readonly FeedRow[], revision: number) =>
      knowledge.applyList(rows, { revision, ...times }),
    change: (rows: readonly FeedRow[], revision: number) =>
      knowledge.applyChanges(rows, { revision, ...times }),
  };
}

describe('endpoints that change between two pages of a list', ({ it }) => {
  // Guards against a watcher that drops an answer as known although only a later page was as new.
  it('are known to the watcher itself, one answer of the watch after the other', (t) => {
    const { knowledge, list, change } = createWatcher();
    list(
      [
        { key: 'a', value: 'ready', revision: 5 },
        { key: 'z', value: 'ready', revision: 12 },
      ],
      LIST_REVISION,
    );
    change([{ key: 'a', value: 'leaving', revision: 11 }], 11);
    t.true(knowledge.directory.find('a')?.isLeaving);
  });

  // Guards against an endpoint taken for removed since its row is newer than the list.
  it('are kept, as they are by the newer row', (t) => {
    const { knowledge, list, ended } = createWatcher();
    list([{ key: 'z', value: 'ready', revision: 5 }], 5);
    list([{ key: 'z', value: 'ready', revision: 12 }], LIST_REVISION);
    t.deepEqual(ended, []);
    t.deepEqual(
      knowledge.directory.listOpen('p').map(({ id }) => id),
      ['z'],
    );
    list([{ key: 'z', value: 'leaving', revision: 13 }], LIST_REVISION);
    t.deepEqual(knowledge.directory.listOpen('p'), []);
    t.is(knowledge.getContentRevision(), LIST_REVISION);
  });

  // Guards against an endpoint that came and went unseen, taken for one that never was.
  it('are told as unseen if the list lacks them and the watch brings their removal', (t) => {
    const { list, change, gaps } = createWatcher();
    list([{ key: 'z', value: 'ready', revision: 12 }], LIST_REVISION);
    change([{ key: 'y', value: undefined, revision: 11 }], 11);
    t.deepEqual(gaps, [false, true]);
  });
});
