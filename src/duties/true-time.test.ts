import { describe } from '../test/describe.js';
import { createTrueTime } from './true-time.js';

describe('true time', ({ it }) => {
  it('is known once the source and the agreed moment are', (t) => {
    const time = createTrueTime();
    t.is(time.computeTrue(100), undefined);
    time.recordSource(5000, 100);
    t.is(time.computeTrue(100), undefined);
    time.setEpoch(1_000_000);
    t.is(time.computeTrue(100), 1_005_000);
    t.is(time.computeTrue(160), 1_005_060);
  });

  it('goes by what came the shortest way', (t) => {
    const time = createTrueTime();
    time.setEpoch(0);
    time.recordSource(1000, 40);
    time.recordSource(1100, 102);
    time.recordSource(1200, 290);
    t.is(time.computeTrue(300), 1298);
  });

  it('keeps the first moment that was agreed on', (t) => {
    const time = createTrueTime();
    time.setEpoch(7);
    time.setEpoch(8);
    t.is(time.getEpoch(), 7);
  });

  // Guards against counting a suspension's calls into windows that were over before it.
  it('is right again with the next answer after the monotonic clock stood still', (t) => {
    const time = createTrueTime();
    time.setEpoch(0);
    time.recordSource(1000, 0);
    time.recordSource(9000, 500);
    t.is(time.computeTrue(500), 9000);
  });

  it('forgets what was heard long ago, as clocks run apart', (t) => {
    const time = createTrueTime();
    time.setEpoch(0);
    time.recordSource(1000, 0);
    time.recordSource(31_990, 31_000);
    time.recordSource(62_980, 62_000);
    t.is(time.computeTrue(62_000), 62_990);
    time.recordSource(93_970, 93_000);
    t.is(time.computeTrue(93_000), 93_980);
  });
});
