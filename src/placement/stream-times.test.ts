import { describe } from '../test/describe.js';
import { createStreamTimes } from './stream-times.js';

describe('stream times', ({ it }) => {
  // The longest pause alone does not show whether a stream stalled once or was slow throughout.
  it('distinguishes one long pause from a slow stream', (t) => {
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

  it('has no pause before the second event', (t) => {
    const stream = createStreamTimes();
    t.is(stream.recordEvent(10, { running: 1, unreadTokens: 0 }), undefined);
    t.deepEqual(stream.get(), { events: 1, meanPauseMs: 0, longestPause: undefined });
  });
});
