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

  // Guards against a stalled feed that stays unnoticed because some peers lag as well.
  it('reports a feed while other peers lag as well', (t) => {
    const detector = createFeedLagDetector();
    const reports = [0, 200, 400, 600, 800].flatMap((nowMs) => [
      detector.checkLag(9, 5, nowMs),
      detector.checkLag(5, 5, nowMs + 50),
    ]);
    t.true(reports.includes(true));
  });
});
