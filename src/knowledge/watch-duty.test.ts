import { describe } from '../test/describe.js';
import { WATCHERS_PER_DATA_CENTRE, createWatchDuty } from './watch-duty.js';
import type { WatchDuty } from './watch-duty.js';

const ALIVE = Array.from({ length: 23 }, (_, index) => `front-${index}`);

/** The duty of an instance that has been alive for ten seconds with recent knowledge. */
function computeDuty(self: string, alive: readonly string[]): WatchDuty {
  const duty = createWatchDuty();
  duty.advance({ self, alive, isKnowledgeOld: false }, 0);
  return duty.advance({ self, alive, isKnowledgeOld: false }, 10_000);
}

describe('watch duty', ({ it }) => {
  it('falls to a few of each data centre, and all agree on them', (t) => {
    const duties = ALIVE.map((self) => ({ self, duty: computeDuty(self, ALIVE) }));
    const watching = duties.filter(({ duty }) => duty.kind === 'watch').map(({ self }) => self);
    t.is(watching.length, WATCHERS_PER_DATA_CENTRE);
    for (const { duty } of duties) {
      if (duty.kind === 'follow') t.deepEqual([...duty.watchers].sort(), watching.sort());
    }
  });

  it('falls to everybody in a small data centre, and to whoever is alone', (t) => {
    t.is(computeDuty('a', ['a', 'b', 'c']).kind, 'watch');
    t.is(computeDuty('a', []).kind, 'watch');
  });

  // The store turns away exactly the machines that watch. The others hear nothing recent any more
  // and must not wait for them: requests with keys would be refused everywhere within seconds.
  it('is taken up at once by who has no recent knowledge, and kept for a while', (t) => {
    const self = ALIVE.find((name) => computeDuty(name, ALIVE).kind === 'follow') ?? '';
    const duty = createWatchDuty();
    const advance = (isKnowledgeOld: boolean, nowMs: number): string =>
      duty.advance({ self, alive: ALIVE, isKnowledgeOld }, nowMs).kind;
    t.is(advance(false, 0), 'watch');
    t.is(advance(false, 6000), 'follow');
    t.is(advance(true, 7000), 'watch');
    t.is(advance(false, 11_000), 'watch');
    t.is(advance(false, 12_500), 'follow');
  });

  it('passes on when a watcher dies', (t) => {
    const [dead] = ALIVE.filter((name) => computeDuty(name, ALIVE).kind === 'watch');
    const left = ALIVE.filter((name) => name !== dead);
    const watching = left.filter((name) => computeDuty(name, left).kind === 'watch');
    t.is(watching.length, WATCHERS_PER_DATA_CENTRE);
  });
});
