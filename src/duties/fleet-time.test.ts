import { describe } from '../test/describe.js';
import { createFleetTime } from './fleet-time.js';

describe('fleet time', ({ it }) => {
  it('is known once a source reading and the epoch are known', (t) => {
    const time = createFleetTime();
    t.is(time.computeFleetTime(100), undefined);
    time.recordSourceTime(5000, 100);
    t.is(time.computeFleetTime(100), undefined);
    time.setEpoch(1_000_000);
    t.is(time.computeFleetTime(100), 1_005_000);
    t.is(time.computeFleetTime(160), 1_005_060);
  });

  it('uses the reading with the lowest delay', (t) => {
    const time = createFleetTime();
    time.setEpoch(0);
    time.recordSourceTime(1000, 40);
    time.recordSourceTime(1100, 102);
    time.recordSourceTime(1200, 290);
    t.is(time.computeFleetTime(300), 1298);
  });

  it('keeps the first epoch that was set', (t) => {
    const time = createFleetTime();
    time.setEpoch(7);
    time.setEpoch(8);
    t.is(time.getEpoch(), 7);
  });

  it('prefers peers with fewer hops to the source', (t) => {
    const time = createFleetTime();
    time.recordPeerTime({ fleetMs: 1_000_900, hops: 1 }, 100);
    t.is(time.computeFleetTime(150), 1_000_950);
    t.deepEqual(time.buildPeerTime(150), { fleetMs: 1_000_950, hops: 2 });
    time.recordPeerTime({ fleetMs: 1_000_000, hops: 0 }, 150);
    t.deepEqual(time.buildPeerTime(200), { fleetMs: 1_000_050, hops: 1 });
    time.recordSourceTime(5, 200);
    time.setEpoch(1_000_060);
    t.deepEqual(time.buildPeerTime(200), { fleetMs: 1_000_065, hops: 0 });
  });

  // Guards against feedback that makes the fleet follow its fastest clock.
  it('does not follow peers that follow this instance', (t) => {
    const first = createFleetTime();
    const second = createFleetTime();
    first.recordPeerTime({ fleetMs: 1000, hops: 0 }, 0);
    for (let ms = 100; ms < 5000; ms += 100) {
      // The second instance's clock runs 1% fast.
      const sent = first.buildPeerTime(ms);
      if (sent !== undefined) second.recordPeerTime(sent, ms * 1.01);
      const returned = second.buildPeerTime(ms * 1.01);
      if (returned !== undefined) first.recordPeerTime(returned, ms);
    }
    t.is(first.computeFleetTime(5000), 6000);
  });

  it('ignores outdated readings', (t) => {
    const time = createFleetTime();
    time.setEpoch(0);
    time.recordSourceTime(1000, 0);
    time.recordPeerTime({ fleetMs: 39_000, hops: 1 }, 40_000);
    t.is(time.computeFleetTime(40_000), 39_000);
  });

  // Guards against counting calls made after a suspension in windows that ended before it.
  it('recovers with the next reading after the monotonic clock stopped', (t) => {
    const time = createFleetTime();
    time.setEpoch(0);
    time.recordSourceTime(1000, 0);
    time.recordSourceTime(9000, 500);
    t.is(time.computeFleetTime(500), 9000);
  });

  it('drops old offsets to follow clock drift', (t) => {
    const time = createFleetTime();
    time.setEpoch(0);
    time.recordSourceTime(1000, 0);
    time.recordSourceTime(31_990, 31_000);
    time.recordSourceTime(62_980, 62_000);
    t.is(time.computeFleetTime(62_000), 62_990);
    time.recordSourceTime(93_970, 93_000);
    t.is(time.computeFleetTime(93_000), 93_980);
  });
});
