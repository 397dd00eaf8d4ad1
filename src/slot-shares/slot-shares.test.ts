import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { buildCall, buildSimulatedRoute } from '../test/simulated-routes.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import { computeShare, computeSlotOwners } from './share-owners.js';
import { createSlotShares } from './slot-shares.js';
import type { SlotShares } from './slot-shares.js';

const SETTLED_MS = 5000;
const FLEET_SIZES = [7, 70, 195, 410] as const;
const POOL_ENDPOINTS = 5;

function buildNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `front-${index}`);
}

function buildEndpoint(index: number, slots: number): RegisteredEndpoint {
  return {
    id: `e-${index}`,
    startId: `e-${index}@1`,
    pool: 'pool',
    address: String(index),
    dataCentre: 'dc',
    slots,
    isLeaving: false,
    isSpot: false,
    softwareVersion: 'v1',
  };
}

function buildTestCall(id: string, nowMs: number) {
  const route = buildSimulatedRoute('call', { timeoutMs: 4000, targetMs: 300 });
  const size = { sharedTokens: 1, ownTokens: 1, outputTokens: 1, callsPerSecond: 1 };
  return buildCall({ route, ...size }, id, nowMs, createRandom(1));
}

interface Harness {
  readonly shares: SlotShares;
  setNow(nowMs: number): void;
}

function createHarness(self: string, instances: readonly string[], meanRunMs = 70): Harness {
  let nowMs = 0;
  const shares = createSlotShares({
    self,
    getNow: () => nowMs,
    listAlive: () => instances,
    getMeanRunMs: () => meanRunMs,
    observer: {
      onChanged: () => undefined,
      onUnreadable: () => undefined,
      onRefused: () => undefined,
    },
  });
  nowMs = SETTLED_MS;
  return {
    shares,
    setNow(next) {
      nowMs = next;
    },
  };
}

describe('shares of the slots of brittle endpoints', ({ describe: block }) => {
  block('in a fleet', ({ it }) => {
    // Guards against instances that each send one request too many.
    it('add up to no more than the slots, however many instances there are', (t) => {
      const sizes = fc.oneof(fc.constantFrom(...FLEET_SIZES), fc.integer({ min: 1, max: 60 }));
      fc.assert(
        fc.property(sizes, fc.integer({ min: 1, max: 128 }), fc.string(), (count, slots, start) => {
          const names = buildNames(count);
          const owners = computeSlotOwners(start, slots, names);
          const total = names.reduce((sum, name) => sum + computeShare(owners, name), 0);
          return total >= 1 && total <= slots;
        }),
        { numRuns: 60 },
      );
      t.pass();
    });

    for (const count of FLEET_SIZES) {
      it(`of ${count} keep what is under way within the slots under any load`, (t) => {
        const names = buildNames(count);
        const endpoints = Array.from({ length: POOL_ENDPOINTS }, (_, index) =>
          buildEndpoint(index, 6),
        );
        const fleet = names.map((name) => createHarness(name, names).shares);
        const underWay = new Map<string, number>();
        let carried = 0;
        fleet.forEach((shares, index) => {
          for (const endpoint of endpoints)
            shares.recordAnswer(endpoint, { kind: 'brittle', rejectionsMax: 0 });
          for (let call = 0; call < 10; call += 1) {
            const choice = shares.choose(buildTestCall(`${index}-${call}`, SETTLED_MS), endpoints);
            const [endpoint] = choice.kind === 'send' ? choice.endpoints : [];
            if (endpoint !== undefined) {
              const owners = shares.listOwners(endpoint);
              const carrier =
                owners === undefined ? shares : fleet[names.indexOf(owners[call] ?? '')];
              const ticket =
                owners === undefined ? shares.start(endpoint) : carrier?.takeForPeer(endpoint);
              if (owners !== undefined && ticket !== undefined) carried += 1;
              if (ticket !== undefined)
                underWay.set(endpoint.id, (underWay.get(endpoint.id) ?? 0) + 1);
            }
          }
        });
        const counts = [...underWay.values()];
        t.true(
          counts.every((running) => running <= 6),
          `under way: ${counts.join(', ')}`,
        );
        t.true(counts.reduce((sum, running) => sum + running, 0) >= POOL_ENDPOINTS * 4);
        // Where there are fewer slots than instances, the others' calls are carried.
        t.is(carried > 0, count > 30);
      });
    }
  });

  block('of one instance', ({ it }) => {
    const endpoint = buildEndpoint(0, 4);
    const brittle = { kind: 'brittle', rejectionsMax: 0 } as const;

    it('do not bind while no endpoint says so', (t) => {
      const { shares } = createHarness('a', ['a', 'b']);
      for (let call = 0; call < 20; call += 1) shares.start(endpoint);
      t.is(shares.choose(buildTestCall('c', SETTLED_MS), [endpoint]).kind, 'send');
    });

    it('count calls that were sent before the endpoint said so', (t) => {
      const { shares } = createHarness('a', ['a']);
      for (let call = 0; call < 4; call += 1) shares.start(endpoint);
      shares.recordAnswer(endpoint, brittle);
      t.is(shares.choose(buildTestCall('c', SETTLED_MS), [endpoint]).kind, 'wait');
    });

    it('return a slot at the end of a call, and later where the caller left', (t) => {
      const { shares, setNow } = createHarness('a', ['a']);
      shares.recordAnswer(endpoint, brittle);
      const tickets = [1, 2, 3, 4].map(() => shares.start(endpoint));
      tickets[0]?.release(false);
      t.is(shares.choose(buildTestCall('c', SETTLED_MS), [endpoint]).kind, 'send');
      shares.start(endpoint);
      tickets[1]?.release(true);
      t.is(shares.choose(buildTestCall('d', SETTLED_MS), [endpoint]).kind, 'wait');
      setNow(SETTLED_MS + 1000);
      shares.advance();
      t.is(shares.choose(buildTestCall('e', SETTLED_MS + 1000), [endpoint]).kind, 'send');
    });

    // Guards against calls that wait for a slot that they cannot get in time.
    it('refuse a call at arrival where too many wait', (t) => {
      const { shares } = createHarness('a', ['a'], 800);
      shares.recordAnswer(endpoint, brittle);
      for (let call = 0; call < 4; call += 1) shares.start(endpoint);
      const kinds = Array.from(
        { length: 20 },
        (_, index) => shares.choose(buildTestCall(`w${index}`, SETTLED_MS), [endpoint]).kind,
      );
      t.is(kinds[0], 'wait');
      t.is(kinds.at(-1), 'refuse');
    });

    it('leave an endpoint alone after it rejected a call', (t) => {
      const { shares, setNow } = createHarness('a', ['a']);
      shares.recordAnswer(endpoint, brittle);
      shares.recordRejected(endpoint);
      t.not(shares.choose(buildTestCall('c', SETTLED_MS), [endpoint]).kind, 'send');
      t.true(shares.hasRejected(endpoint));
      setNow(SETTLED_MS + 1500);
      t.is(shares.choose(buildTestCall('d', SETTLED_MS + 1500), [endpoint]).kind, 'send');
    });

    it('end with the first answer that does not say so, whatever older reports say', (t) => {
      const { shares, setNow } = createHarness('a', ['a']);
      shares.recordAnswer(endpoint, brittle);
      const reports = shares.takeReports();
      setNow(SETTLED_MS + 10);
      shares.recordAnswer(endpoint, { kind: 'none' });
      t.false(shares.isBrittle(endpoint));
      shares.merge(
        reports.map((report) => ({ ...report, agoMs: 50 })),
        'b',
      );
      t.false(shares.isBrittle(endpoint));
    });

    it('are learned from others', (t) => {
      const { shares } = createHarness('a', ['a']);
      const { shares: other } = createHarness('b', ['a', 'b']);
      shares.recordAnswer(endpoint, brittle);
      other.merge(shares.takeReports(), 'a');
      t.true(other.isBrittle(endpoint));
    });

    // Guards against an instance that takes itself for the only one right after its start.
    it('are nothing while it does not know the others yet', (t) => {
      const { shares, setNow } = createHarness('a', ['a']);
      setNow(500);
      shares.recordAnswer(endpoint, brittle);
      t.deepEqual(shares.listOwners(endpoint), []);
    });
  });
});
