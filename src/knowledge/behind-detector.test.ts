import { describe } from '../test/describe.js';
import { createBehindDetector } from './behind-detector.js';

describe('feed lag detector', ({ it }) => {
  it('reports a feed once after it has lagged behind peers for the limit', (t) => {
    const detector = createBehindDetector();
    t.false(detector.checkBehind(5, 4, 0));
    t.false(detector.checkBehind(6, 4, 699));
    t.true(detector.checkBehind(6, 4, 700));
    t.false(detector.checkBehind(6, 4, 701));
  });

  it('does not report a feed that catches up or is not in use', (t) => {
    const detector = createBehindDetector();
    t.false(detector.checkBehind(5, 4, 0));
    t.false(detector.checkBehind(5, 5, 500));
    t.false(detector.checkBehind(6, 5, 1000));
    detector.stop();
    t.false(detector.checkBehind(6, 5, 1800));
  });
});
