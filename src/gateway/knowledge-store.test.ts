import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import type { FeedResponse, FeedReader, FeedRow } from '../knowledge/feed.js';
import { createSystemClock } from '../runtime/clock.js';
import { createTimerService } from '../runtime/timer-service.js';
import type { RegisteredEndpoint, TrafficConfiguration } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import type { WatchRole } from '../knowledge/watch-role.js';
import { createKnowledgeStore } from './knowledge-store.js';
import type { KnowledgeStore, RowDecoder } from './knowledge-store.js';

/** A test fails when the state that it needs is not reached within this time. */
const WAIT_MAX_MS = 10_000;
const WAIT_STEP_MS = 5;
/** Timers count whole milliseconds, so one can fire up to this much early. */
const TIMER_EARLY_MS = 1;

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

/** A table of the source; its watches wait until the test changes its rows. */
function createTable(rows: readonly FeedRow[]) {
  let revision = 5;
  let calls = 0;
  let isReachable = true;
  let isWatchAnswered = true;
  const changes: FeedRow[] = [];
  let pendingWatch:
    | { readonly sinceRevision: number; readonly resolve: (answer: FeedResponse) => void }
    | undefined;
  const buildAnswer = (answered: readonly FeedRow[]): FeedResponse => {
    if (!isReachable) return { kind: 'unavailable', reason: 'the store is out of reach' };
    const nowMs = performance.now();
    return { kind: 'rows', rows: answered, revision, sourceNowMs: nowMs, sentMs: nowMs };
  };
  const listChanges = (sinceRevision: number): readonly FeedRow[] =>
    changes.filter((row) => (row.revision ?? 0) > sinceRevision);

  function resolvePendingWatch(): void {
    const watch = pendingWatch;
    pendingWatch = undefined;
    watch?.resolve(buildAnswer(listChanges(watch.sinceRevision)));
  }

  const reader: FeedReader = {
    async list() {
      calls += 1;
      const listed = new Map([...rows, ...changes].map((row) => [row.key, row]));
      return buildAnswer([...listed.values()].filter(({ value }) => value !== undefined));
    },
    async watch(sinceRevision, waitsMs) {
      calls += 1;
      const changed = listChanges(sinceRevision);
      const isImmediate = !isReachable || waitsMs === 0 || changed.length > 0;
      if (isWatchAnswered && isImmediate) return buildAnswer(changed);
      return new Promise((resolve) => {
        pendingWatch = { sinceRevision, resolve };
      });
    },
    reset() {
      pendingWatch = undefined;
    },
  };
  return {
    reader,
    countCalls: () => calls,
    /** Whether the store has handled all rows and its next watch has begun. */
    isWatched: () => pendingWatch?.sinceRevision === revision,
    setReachable(isNowReachable: boolean) {
      isReachable = isNowReachable;
      if (!isReachable) resolvePendingWatch();
    },
    setWatchAnswered(isAnswered: boolean) {
      isWatchAnswered = isAnswered;
    },
    setRows(changed: readonly FeedRow[]) {
      revision += 1;
      changes.push(...changed.map((row) => ({ ...row, revision })));
      resolvePendingWatch();
    },
  };
}

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms + TIMER_EARLY_MS);
  });
}

async function waitUntil(state: string, isReached: () => boolean): Promise<void> {
  const endMs = performance.now() + WAIT_MAX_MS;
  while (!isReached()) {
    if (performance.now() > endMs)
      throw new Error(`timed out after ${WAIT_MAX_MS} ms waiting for: ${state}`);
    // Polls until the state is reached.
    // eslint-disable-next-line no-await-in-loop
    await waitMs(WAIT_STEP_MS);
  }
}

function createHarness(t: ExecutionContext, role = WATCH) {
  const timers = createTimerService(createSystemClock());
  const configuration = createTable([{ key: 'config', value: '7' }]);
  const endpoints = createTable([
    { key: 'a', value: 'ready' },
    { key: 'b', value: 'ready' },
  ]);
  const ended: string[] = [];
  const events: string[] = [];
  const store = createKnowledgeStore({
    timers,
    random: createRandom(1),
    log: { write: ({ event }) => events.push(event) },
    configurationFeed: configuration.reader,
    endpointFeed: endpoints.reader,
    decoder: DECODER,
    onConfiguration: () => undefined,
    onEndpointEnded: ({ startId }) => ended.push(startId),
    onSuspended: () => undefined,
  });
  t.teardown(() => {
    store.stop();
    timers.stop();
  });
  store.setRole(role);
  return {
    store,
    ended,
    configuration,
    endpoints,
    waitUntilWatched: () =>
      waitUntil(
        'both tables are watched',
        () => configuration.isWatched() && endpoints.isWatched(),
      ),
    waitUntilSourceLost: () =>
      waitUntil('the source is lost', () => events.includes('source_lost')),
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
    const harness = createHarness(t);
    harness.configuration.setWatchAnswered(false);
    await harness.waitUntilWatched();
    t.is(harness.store.getConfiguration()?.version, 7);
    t.is(harness.store.computeAge(), Infinity);
    const other = createHarness(t);
    await other.waitUntilWatched();
    t.true(other.store.computeAge() < 1000);
  });

  it('uses the knowledge of a peer, with its age, while it does not watch the source', async (t) => {
    const watcher = createHarness(t);
    const follower = createHarness(t, FOLLOW);
    await watcher.waitUntilWatched();
    watcher.configuration.setRows([{ key: 'config', value: '9' }]);
    watcher.endpoints.setRows([
      { key: 'a', value: 'leaving' },
      { key: 'b', value: undefined },
      { key: 'c', value: 'ready' },
    ]);
    await watcher.waitUntilWatched();
    const sentMs = performance.now() - 400;
    sendKnowledge(watcher.store, follower.store, sentMs);
    t.is(follower.store.getConfiguration()?.version, 9);
    t.deepEqual(listOpen(follower.store), ['c']);
    t.true(follower.store.computeAge() >= 400);
    await waitMs(50);
    t.is(follower.configuration.countCalls() + follower.endpoints.countCalls(), 0);
  });

  // Guards against dropping other endpoints, or the same one for good, because one entry cannot be decoded.
  it('stops using only the endpoint whose entry cannot be decoded', async (t) => {
    const harness = createHarness(t);
    await harness.waitUntilWatched();
    harness.endpoints.setRows([
      { key: 'a', value: 'unreadable' },
      { key: 'c', value: 'ready' },
    ]);
    await harness.waitUntilWatched();
    t.deepEqual(listOpen(harness.store), ['b', 'c']);
    t.deepEqual(harness.ended, ['a@ready']);
    harness.endpoints.setRows([{ key: 'a', value: 'ready' }]);
    await harness.waitUntilWatched();
    t.deepEqual(listOpen(harness.store).sort(), ['a', 'b', 'c']);
  });

  // Guards against sending calls to a leaving endpoint when the feed replays an older row of it.
  it('does not revert to older rows than those from peers when its feed resumes', async (t) => {
    const harness = createHarness(t);
    await harness.waitUntilWatched();
    harness.endpoints.setReachable(false);
    await harness.waitUntilSourceLost();
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
    harness.endpoints.setReachable(true);
    await harness.waitUntilWatched();
    harness.endpoints.setRows([{ key: 'a', value: 'ready' }]);
    await harness.waitUntilWatched();
    t.deepEqual(listOpen(harness.store), ['b']);
  });

  // Guards against empty pools after an outage in which every entry lapsed: an instance that follows a
  // peer must wait for renewals as long as the peer does.
  it('keeps lapsed endpoints as long as the peer that it follows', async (t) => {
    const follower = createHarness(t);
    await follower.waitUntilWatched();
    follower.store.setRole(FOLLOW);
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
  });

  // Guards against accepting a revoked key because a delayed datagram counts as a fresh confirmation.
  it('adds the transit time of a confirmation to its age', async (t) => {
    const watcher = createHarness(t);
    const follower = createHarness(t, FOLLOW);
    await watcher.waitUntilWatched();
    sendKnowledge(watcher.store, follower.store, performance.now());
    const summary = watcher.store.getSummary();
    await waitMs(120);
    t.false(follower.store.applySummary(summary));
    t.true(follower.store.computeAge() >= 120);
  });

  it('fetches newer knowledge that a summary announces, unless its own feed answers', async (t) => {
    const watcher = createHarness(t);
    const follower = createHarness(t, FOLLOW);
    await watcher.waitUntilWatched();
    const summary = watcher.store.getSummary();
    t.true(follower.store.applySummary(summary));
    t.false(watcher.store.applySummary({ ...summary, endpointsRevision: 99 }));
    sendKnowledge(watcher.store, follower.store, performance.now());
    t.false(follower.store.applySummary(summary));
  });

  // Guards against sending calls to an endpoint that has left because the watch connection failed without
  // being closed.
  it('restarts its feed when peers stay ahead of it', async (t) => {
    const harness = createHarness(t);
    await harness.waitUntilWatched();
    const calls = harness.endpoints.countCalls();
    const ahead = { ...harness.store.getSummary(), endpointsRevision: 99 };
    harness.store.applySummary(ahead);
    await waitMs(300);
    harness.store.applySummary(ahead);
    t.is(harness.endpoints.countCalls(), calls);
    await waitMs(500);
    harness.store.applySummary(ahead);
    t.true(harness.endpoints.countCalls() > calls);
  });

  // Guards against waiting for a pending standby watch when this instance becomes a leading watcher.
  it('queries the source at once when it becomes a leading watcher', async (t) => {
    const harness = createHarness(t, { ...WATCH, isLeading: false });
    await harness.waitUntilWatched();
    const calls = harness.configuration.countCalls();
    harness.store.setRole(WATCH);
    await waitMs(30);
    t.true(harness.configuration.countCalls() > calls);
  });
});
