import { describe } from '../test/describe.js';
import { createBehindDetector } from './behind-detector.js';

describe('behind detector', ({ it }) => {
  it('doubts a feed that others have been ahead of for a while, once', (t) => {
    const detector = createBehindDetector();
    t.false(detector.checkBehind(5, 4, 0));
    t.false(detector.checkBehind(6, 4, 699));
    t.true(detector.checkBehind(6, 4, 700));
    t.false(detector.checkBehind(6, 4, 701));
  });

  it('does not doubt a feed that catches up, or that is not in use', (t) => {
    const detector = createBehindDetector();
    t.false(detector.checkBehind(5, 4, 0));
    t.false(detector.checkBehind(5, 5, 500));
    t.false(detector.checkBehind(6, 5, 1000));
    detector.stop();
    t.false(detector.checkBehind(6, 5, 1800));
  });
});
