import type { FeedRow } from '../knowledge/feed.js';
import { describe } from '../test/describe.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createEndpointKnowledge } from './endpoint-knowledge.js';
import type { EndpointKnowledge } from './endpoint-knowledge.js';

const LIST_REVISION = 10;
const TIMES = { sourceNowMs: 0, sentMs: 0 };

function decodeEndpoint({ key, value }: FeedRow): RegisteredEndpoint | undefined {
  if (value === undefined) return undefined;
  return {
    id: key,
    startId: key,
    pool: 'engines',
    address: key,
    dataCentre: 'd',
    slots: 1,
    isLeaving: value === 'leaving',
    isSpot: false,
    softwareVersion: 'v1',
  };
}

function createKnowledge(): EndpointKnowledge {
  return createEndpointKnowledge({
    log: { write: () => undefined },
    getNow: () => 0,
    decodeEndpoint,
    onEndpointStarted: () => undefined,
    onEndpointEnded: () => undefined,
    onEndpointsApplied: () => undefined,
  });
}

/** Fetches what a follower lacks, as it would after a summary that names this last change. */
function fetchFrom(watcher: EndpointKnowledge, follower: EndpointKnowledge): void {
  if (watcher.getContentRevision() <= follower.getContentRevision()) return;
  const table = watcher.buildTable(follower.getContentRevision());
  if (table !== undefined) follower.applyTable(table, 0, 'watcher');
}

describe('a list of endpoints in several pages', ({ it }) => {
  // Guards against followers that never hear of a change between two pages, since a later row is newer.
  it('keeps no change between its pages from followers', (t) => {
    const watcher = createKnowledge();
    const follower = createKnowledge();
    // The first page is of revision 10; 'a' leaves at 11 and 'z', on the last page, joins at 12.
    watcher.applyList(
      [
        { key: 'a', value: 'ready', revision: 5 },
        { key: 'z', value: 'ready', revision: 12 },
      ],
      { revision: LIST_REVISION, ...TIMES },
    );
    fetchFrom(watcher, follower);
    watcher.applyChanges(
      [
        { key: 'a', value: 'leaving', revision: 11 },
        { key: 'z', value: 'ready', revision: 12 },
      ],
      { revision: 12, ...TIMES },
    );
    fetchFrom(watcher, follower);
    t.true(watcher.directory.find('a')?.isLeaving);
    t.true(follower.directory.find('a')?.isLeaving, 'the follower goes on sending calls to it');
  });
});
