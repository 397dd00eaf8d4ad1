import { describe } from '../test/describe.js';
import type { FeedResponse, FeedReader, FeedRow } from '../knowledge/feed.js';
import { createSystemClock } from '../runtime/clock.js';
import { createTimerService } from '../runtime/timer-service.js';
import type { RegisteredEndpoint, TrafficConfiguration } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import type { WatchRole } from '../knowledge/watch-role.js';
import { createKnowledgeStore } from './knowledge-store.js';
import type { KnowledgeStore, RowDecoder } from './knowledge-store.js';

const NEVER = new Promise<FeedResponse>(() => {
  // Never resolves.
});

const WATCH: WatchRole = {
  kind: 'watch',
  isListed: true,
  isLeading: true,
  pauseFactor: 1,
};
const FOLLOW: WatchRole = { kind: 'follow' };

const DECODER: RowDecoder = {
  decodeConfiguration(row): TrafficConfiguration | undefined {
    if (row.value === undefined) return undefined;
    const limits = { headerBytesMax: 1, bodyBytesMax: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return { version: Number(row.value), routes: [], pools: [], organisations: [], limits };
  },
  decodeEndpoint(row): RegisteredEndpoint | undefined {
    if (row.value === undefined || row.value === 'unreadable') return undefined;
    const isLeaving = row.value === 'leaving';
    const { key: id } = row;
    const startId = `${id}@${row.value}`;
    return {
      id,
      startId,
      pool: 'p',
      address: id,
      dataCentre: 'd',
      slots: 1,
      isLeaving,
      isSpot: false,
    };
  },
};

/** A table whose watches wait until the test changes its rows. */
function createTable(rows: readonly FeedRow[]) {
  let revision = 5;
  let calls = 0;
  let resolveWatch: ((answer: FeedResponse) => void) | undefined;
  let isWatchAnswered = true;
  const buildAnswer = (changed: readonly FeedRow[]): FeedResponse => ({
    kind: 'rows',
    rows: changed,
    revision,
    sourceNowMs: performance.now(),
    sentMs: performance.now(),
  });
  const reader: FeedReader = {
    async list() {
      calls += 1;
      return buildAnswer(rows);
    },
    async watch(_, waitsMs) {
      calls += 1;
      if (!isWatchAnswered) return NEVER;
      if (waitsMs === 0) return buildAnswer([]);
      return new Promise((resolve) => {
        resolveWatch = resolve;
      });
    },
    reset: () => undefined,
  };
  return {
    reader,
    countCalls: () => calls,
    loseWatch() {
      resolveWatch?.({ kind: 'unavailable', reason: 'the store is out of reach' });
    },
    setWatchAnswered(isAnswered: boolean) {
      isWatchAnswered = isAnswered;
    },
    setRows(changed: readonly FeedRow[]) {
      revision += 1;
      resolveWatch?.(buildAnswer(changed));
    },
  };
}

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function createHarness(duty = WATCH) {
  const timers = createTimerService(createSystemClock());
  const configuration = createTable([{ key: 'config', value: '7' }]);
  const endpoints = createTable([
    { key: 'a', value: 'ready' },
    { key: 'b', value: 'ready' },
  ]);
  const ended: string[] = [];
  const store = createKnowledgeStore({
    timers,
    random: createRandom(1),
    log: { write: () => undefined },
    configurationFeed: configuration.reader,
    endpointFeed: endpoints.reader,
    decoder: DECODER,
    onConfiguration: () => undefined,
    onEndpointEnded: ({ startId }) => ended.push(startId),
    onSuspended: () => undefined,
  });
  store.setDuty(duty);
  return {
    store,
    ended,
    configuration,
    endpoints,
    stop() {
      store.stop();
      timers.stop();
    },
  };
}

function listOpen(store: KnowledgeStore): string[] {
  return store.directory.listOpen('p').map(({ id }) => id);
}

function sendKnowledge(from: KnowledgeStore, to: KnowledgeStore, sentMs: number): void {
  const request = {
    $typeName: 'hyssoptally.peer.v1.FetchKnowledgeRequest',
    configurationRevision: to.getSummary().configurationRevision,
    endpointsRevision: to.getSummary().endpointsRevision,
  } as const;
  to.applyResponse('watcher', from.buildResponse(request), sentMs);
}

describe('knowledge store', ({ it }) => {
  // Guards against accepting a revoked key that is still present in a stale list.
  it('does not confirm a list before a watch has answered', async (t) => {
    const harness = createHarness();
    harness.configuration.setWatchAnswered(false);
    await waitMs(30);
    t.is(harness.store.getConfiguration()?.version, 7);
    t.is(harness.store.computeAge(), Infinity);
    harness.stop();
    const other = createHarness();
    await waitMs(30);
    t.true(other.store.computeAge() < 1000);
    other.stop();
  });

  it('uses the knowledge of a peer, with its age, while it does not watch the source', async (t) => {
    const watcher = createHarness();
    const follower = createHarness(FOLLOW);
    await waitMs(30);
    watcher.configuration.setRows([{ key: 'config', value: '9' }]);
    watcher.endpoints.setRows([
      { key: 'a', value: 'leaving' },
      { key: 'b', value: undefined },
      { key: 'c', value: 'ready' },
    ]);
    await waitMs(30);
    const sentMs = performance.now() - 400;
    sendKnowledge(watcher.store, follower.store, sentMs);
    t.is(follower.store.getConfiguration()?.version, 9);
    t.deepEqual(listOpen(follower.store), ['c']);
    t.true(follower.store.computeAge() >= 400);
    await waitMs(50);
    t.is(follower.configuration.countCalls() + follower.endpoints.countCalls(), 0);
    follower.stop();
    watcher.stop();
  });

  // Guards against dropping other endpoints, or the same one for good, because one entry cannot be decoded.
  it('stops using only the endpoint whose entry cannot be decoded', async (t) => {
    const harness = createHarness();
    await waitMs(30);
    harness.endpoints.setRows([
      { key: 'a', value: 'unreadable' },
      { key: 'c', value: 'ready' },
    ]);
    await waitMs(30);
    t.deepEqual(listOpen(harness.store), ['b', 'c']);
    t.deepEqual(harness.ended, ['a@ready']);
    harness.endpoints.setRows([{ key: 'a', value: 'ready' }]);
    await waitMs(30);
    t.deepEqual(listOpen(harness.store).sort(), ['a', 'b', 'c']);
    harness.stop();
  });

  // Guards against sending calls to a leaving endpoint when the feed replays an older row of it.
  it('does not revert to older rows than those from peers when its feed resumes', async (t) => {
    const harness = createHarness();
    await waitMs(30);
    harness.endpoints.loseWatch();
    await waitMs(10);
    harness.store.applyResponse(
      'peer',
      {
        $typeName: 'hyssoptally.peer.v1.FetchKnowledgeResponse',
        renewalLeftMs: 0,
        endpoints: {
          $typeName: 'hyssoptally.peer.v1.TableKnowledge',
          revision: 9,
          hasRows: true,
          isComplete: false,
          rows: [
            {
              $typeName: 'hyssoptally.peer.v1.TableRow',
              key: 'a',
              value: 'leaving',
              revision: 9,
            },
          ],
        },
      },
      performance.now(),
    );
    t.deepEqual(listOpen(harness.store), ['b']);
    await waitMs(250);
    harness.endpoints.setRows([{ key: 'a', value: 'ready' }]);
    await waitMs(30);
    t.deepEqual(listOpen(harness.store), ['b']);
    harness.stop();
  });

  // Guards against empty pools after an outage in which every entry lapsed: an instance that follows a
  // peer must wait for renewals as long as the peer does.
  it('keeps lapsed endpoints as long as the peer that it follows', async (t) => {
    const follower = createHarness();
    await waitMs(30);
    follower.store.setDuty(FOLLOW);
    const answer = (renewalLeftMs: number, revision: number, rows: readonly FeedRow[]): void =>
      follower.store.applyResponse(
        'watcher',
        {
          $typeName: 'hyssoptally.peer.v1.FetchKnowledgeResponse',
          renewalLeftMs,
          endpoints: {
            $typeName: 'hyssoptally.peer.v1.TableKnowledge',
            revision,
            hasRows: true,
            isComplete: false,
            rows: rows.map((row) => ({
              $typeName: 'hyssoptally.peer.v1.TableRow',
              key: row.key,
              revision,
              ...(row.value === undefined ? {} : { value: row.value }),
            })),
          },
        },
        performance.now(),
      );
    answer(300, 20, [
      { key: 'a', value: undefined },
      { key: 'b', value: undefined },
    ]);
    t.deepEqual(listOpen(follower.store), ['a', 'b']);
    answer(250, 21, [{ key: 'b', value: 'ready' }]);
    await waitMs(700);
    t.deepEqual(listOpen(follower.store), ['b']);
    follower.stop();
  });

  // Guards against accepting a revoked key because a delayed datagram counts as a fresh confirmation.
  it('adds the transit time of a confirmation to its age', async (t) => {
    const watcher = createHarness();
    const follower = createHarness(FOLLOW);
    await waitMs(30);
    sendKnowledge(watcher.store, follower.store, performance.now());
    const summary = watcher.store.getSummary();
    await waitMs(120);
    t.false(follower.store.applySummary(summary));
    t.true(follower.store.computeAge() >= 120);
    follower.stop();
    watcher.stop();
  });

  it('fetches newer knowledge that a summary announces, unless its own feed answers', async (t) => {
    const watcher = createHarness();
    const follower = createHarness(FOLLOW);
    await waitMs(30);
    const summary = watcher.store.getSummary();
    t.true(follower.store.applySummary(summary));
    t.false(watcher.store.applySummary({ ...summary, endpointsRevision: 99 }));
    sendKnowledge(watcher.store, follower.store, performance.now());
    t.false(follower.store.applySummary(summary));
    follower.stop();
    watcher.stop();
  });

  // Guards against sending calls to an endpoint that has left because the watch connection failed without
  // being closed.
  it('restarts its feed when peers stay ahead of it', async (t) => {
    const harness = createHarness();
    await waitMs(30);
    const calls = harness.endpoints.countCalls();
    const ahead = { ...harness.store.getSummary(), endpointsRevision: 99 };
    harness.store.applySummary(ahead);
    await waitMs(300);
    harness.store.applySummary(ahead);
    t.is(harness.endpoints.countCalls(), calls);
    await waitMs(500);
    harness.store.applySummary(ahead);
    t.true(harness.endpoints.countCalls() > calls);
    harness.stop();
  });

  // Guards against waiting for a pending standby watch when this instance becomes a leading watcher.
  it('queries the source at once when it becomes a leading watcher', async (t) => {
    const harness = createHarness({ ...WATCH, isLeading: false });
    await waitMs(30);
    const calls = harness.configuration.countCalls();
    harness.store.setDuty(WATCH);
    await waitMs(30);
    t.true(harness.configuration.countCalls() > calls);
    harness.stop();
  });
});
