import { describe } from '../test/describe.js';
import { createStreamTimes } from './stream-times.js';

describe('times of a stream', ({ it }) => {
  // A caller left an answer that had begun in time. Whether it fell silent once or was slow all along
  // could not be told from its longest pause alone.
  it('tells one long pause from a slow pace', (t) => {
    const silent = createStreamTimes();
    [100, 120, 140, 640, 660].forEach((ms) =>
      silent.recordEvent(ms, { running: 1, unreadTokens: 0 }),
    );
    const slow = createStreamTimes();
    [100, 340, 590, 830, 1080].forEach((ms) =>
      slow.recordEvent(ms, { running: 90, unreadTokens: 60_000 }),
    );
    t.like(silent.get(), { events: 5, meanPauseMs: 140, longestPause: { pauseMs: 500 } });
    t.like(slow.get(), { events: 5, meanPauseMs: 245, longestPause: { pauseMs: 250 } });
    t.like(slow.get().longestPause, { afterEvents: 2, running: 90, unreadTokens: 60_000 });
  });

  it('knows no pause before the second event', (t) => {
    const stream = createStreamTimes();
    t.is(stream.recordEvent(10, { running: 1, unreadTokens: 0 }), undefined);
    t.deepEqual(stream.get(), { events: 1, meanPauseMs: 0, longestPause: undefined });
  });
});
