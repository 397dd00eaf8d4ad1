import { describe } from '../test/describe.js';
import { createSendShares } from './send-shares.js';
import type { SendShares } from './send-shares.js';

const ENDPOINT = 7;
/** Time after which all instances hold their shares. */
const SETTLED_MS = 10_000;

function createFleet(instances: number, getRate: () => number | undefined): SendShares[] {
  const names = Array.from({ length: instances }, (_, index) => `instance-${index}`);
  return names.map((self) =>
    createSendShares({ self, listAlive: () => names, getRate, startedMs: 0 }),
  );
}

describe('send shares', ({ it }) => {
  // Guards against shares whose sum grows with the fleet.
  it('add up to the same part of the rate in a fleet of any size', (t) => {
    for (const instances of [1, 7, 70, 195, 410]) {
      for (const rate of [0.2, 1.1, 8, 50]) {
        const fleet = createFleet(instances, () => rate);
        const sum = fleet.reduce(
          (total, shares) => total + shares.computeRate(ENDPOINT, SETTLED_MS),
          0,
        );
        t.true(Math.abs(sum - rate * 0.75) < 1e-9, `${instances} instances, ${rate}/s: ${sum}`);
      }
    }
  });

  // Guards against a flood when all instances restart and each knows only itself.
  it('are held by no instance that has just started', (t) => {
    const shares = createSendShares({
      self: 'a',
      listAlive: () => ['a'],
      getRate: () => 5,
      startedMs: 0,
    });
    t.is(shares.computeRate(ENDPOINT, 2900), 0);
    t.false(shares.take(ENDPOINT, 2900));
    t.true(shares.computeRate(ENDPOINT, 3100) > 0);
  });

  it('are paced, and follow a change of the rate at once', (t) => {
    let rate: number | undefined = 4;
    const [shares] = createFleet(1, () => rate) as [SendShares];
    shares.isReady(ENDPOINT, SETTLED_MS);
    t.true(shares.take(ENDPOINT, SETTLED_MS + 400));
    t.false(shares.take(ENDPOINT, SETTLED_MS + 500));
    t.true(shares.take(ENDPOINT, SETTLED_MS + 740));
    rate = 0.4;
    t.false(shares.take(ENDPOINT, SETTLED_MS + 2000));
    rate = undefined;
    t.is(shares.computeReadyInMs(ENDPOINT, SETTLED_MS + 2100), Infinity);
  });
});
