import { describe } from '../test/describe.js';
import { createTimerService } from '../runtime/timer-service.js';
import { createSystemClock } from '../runtime/clock.js';
import { createRandom } from '../utils/random.js';
import type { FeedResponse, FeedReader } from './feed.js';
import { startFeedWatcher } from './feed-watcher.js';

const NEVER = new Promise<FeedResponse>(() => {
  // Never settles: no scripted response is left.
});

type Call = { readonly kind: 'list' } | { readonly kind: 'watch'; readonly waitMs: number };

function buildRows(revision: number, key = 'k'): FeedResponse {
  return { kind: 'rows', rows: [{ key, value: 'v' }], revision, sourceNowMs: 1, sentMs: 1 };
}

/** A response to a watch after which nothing newer exists. */
function buildUnchanged(revision: number): FeedResponse {
  return { kind: 'rows', rows: [], revision, sourceNowMs: 1, sentMs: 1 };
}

/** Runs a watcher on scripted responses until they are used up. */
async function runWatcher(responses: readonly FeedResponse[]) {
  const calls: Call[] = [];
  const events: string[] = [];
  let resets = 0;
  const timers = createTimerService(createSystemClock());
  const done = new Promise<void>((resolve) => {
    const takeNextResponse = async (call: Call): Promise<FeedResponse> => {
      const next = responses[calls.length];
      calls.push(call);
      if (next !== undefined) return next;
      resolve();
      return NEVER;
    };
    const reader: FeedReader = {
      list: () => takeNextResponse({ kind: 'list' }),
      watch: (_, waitMs) => takeNextResponse({ kind: 'watch', waitMs }),
      reset() {
        resets += 1;
      },
    };
    startFeedWatcher({
      reader,
      timers,
      random: createRandom(1),
      getWaitMs: () => 1500,
      listener: {
        onListed: (_, { revision }) => events.push(`listed ${revision}`),
        onChanged: (_, { revision }, isNewest) =>
          events.push(`changed ${revision}${isNewest ? '' : ', perhaps more'}`),
        onLost: (reason) => events.push(`lost ${reason}`),
      },
    });
  });
  await done;
  timers.stop();
  return { calls, events, resets };
}

describe('feed watcher', ({ it }) => {
  it('lists once, then watches', async (t) => {
    const { calls, events } = await runWatcher([buildRows(5), buildUnchanged(6)]);
    t.deepEqual(events, ['listed 5', 'changed 6']);
    t.deepEqual(
      calls.map(({ kind }) => kind),
      ['list', 'watch', 'watch'],
    );
  });

  // Guards against restoring a removed row from a stale list that follows a compaction.
  it('lists again after a compaction and ignores a stale list', async (t) => {
    const { events } = await runWatcher([
      buildRows(5),
      buildUnchanged(5),
      buildRows(9),
      { kind: 'compacted' },
      buildRows(7),
      buildRows(11),
    ]);
    t.deepEqual(events, ['listed 5', 'changed 5', 'changed 9', 'listed 11']);
  });

  // Guards against detecting the source's recovery late because the first call waits for a change.
  it('watches without waiting, on a new connection, after a failure', async (t) => {
    const { calls, events, resets } = await runWatcher([
      buildRows(5),
      { kind: 'unavailable', reason: 'silent' },
      buildUnchanged(5),
    ]);
    t.deepEqual(events, ['listed 5', 'lost silent', 'changed 5']);
    t.is(resets, 1);
    t.like(calls[2], { kind: 'watch', waitMs: 0 });
    t.like(calls[3], { kind: 'watch', waitMs: 1500 });
  });

  // Guards against using a stale list, with a removed key in it, for a whole long-poll interval.
  it('watches without waiting after a list', async (t) => {
    const { calls } = await runWatcher([buildRows(5), buildUnchanged(5), buildRows(7)]);
    t.like(calls[1], { kind: 'watch', waitMs: 0 });
    t.like(calls[2], { kind: 'watch', waitMs: 1500 });
  });

  // Guards against taking a version for the newest while a feed replays the changes it missed.
  it('reports rows as the newest only after a response without any', async (t) => {
    const { calls, events } = await runWatcher([
      buildRows(5),
      buildRows(6),
      buildRows(7),
      buildUnchanged(7),
      buildRows(9),
    ]);
    t.deepEqual(events, [
      'listed 5',
      'changed 6, perhaps more',
      'changed 7, perhaps more',
      'changed 7',
      'changed 9',
    ]);
    t.deepEqual(
      calls.flatMap((call) => (call.kind === 'watch' ? [call.waitMs] : [])),
      [0, 0, 0, 1500, 1500],
    );
  });

  // Guards against listing and watching at full rate while the lists are older than the compacted
  // history, which would use up the store's call rate.
  it('backs off while lists are older than the compacted history', async (t) => {
    const startMs = performance.now();
    const { calls } = await runWatcher([
      buildRows(5),
      { kind: 'compacted' },
      buildRows(5),
      { kind: 'compacted' },
      buildRows(5),
      { kind: 'compacted' },
    ]);
    t.is(calls.length, 7);
    t.true(performance.now() - startMs >= 290, 'three pauses of about 100 ms');
  });

  // Guards against restoring rows that peers reported as removed, by resuming at the revision
  // before the pause.
  it('makes no call while paused and resumes from the given revision', async (t) => {
    const calls: number[] = [];
    const timers = createTimerService(createSystemClock());
    const reader: FeedReader = {
      list: async () => buildRows(5),
      watch: async (revision) => {
        calls.push(revision);
        return revision === 5 ? buildRows(6) : NEVER;
      },
      reset: () => undefined,
    };
    const watcher = startFeedWatcher({
      reader,
      timers,
      random: createRandom(1),
      getWaitMs: () => 1500,
      listener: {
        onListed: () => undefined,
        onChanged: () => undefined,
        onLost: () => undefined,
      },
    });
    const waitForCalls = (): Promise<void> =>
      new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
    await waitForCalls();
    t.deepEqual(calls, [5, 6]);
    watcher.pause();
    watcher.restart();
    await waitForCalls();
    t.deepEqual(calls, [5, 6]);
    watcher.resume(9);
    await waitForCalls();
    t.deepEqual(calls, [5, 6, 9]);
    watcher.stop();
    timers.stop();
  });
});
