import { describe } from '../test/describe.js';
import { createFeedLagDetector } from './feed-lag-detector.js';

describe('feed lag detector', ({ it }) => {
  it('reports a feed once after it has lagged behind peers for the limit', (t) => {
    const detector = createFeedLagDetector();
    t.false(detector.checkLag(5, 4, 0));
    t.false(detector.checkLag(6, 4, 699));
    t.true(detector.checkLag(6, 4, 700));
    t.false(detector.checkLag(6, 4, 701));
  });

  it('does not report a feed that catches up or is not in use', (t) => {
    const detector = createFeedLagDetector();
    t.false(detector.checkLag(5, 4, 0));
    t.false(detector.checkLag(5, 5, 500));
    t.false(detector.checkLag(6, 5, 1000));
    detector.reset();
    t.false(detector.checkLag(6, 5, 1800));
  });
});
