import fc from 'fast-check';
import { ENDPOINT_VERDICT, createEndpointLoads } from '../placement/endpoint-loads.js';
import { LOAD_CLASS } from '../placement/load-class.js';
import type { EndpointLoads } from '../placement/endpoint-loads.js';
import { describe } from '../test/describe.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createRandom } from '../utils/random.js';
import { chooseAggregators, listAggregatorsFor } from './choose-aggregators.js';
import type { LoadMember } from './choose-aggregators.js';
import { LOAD_UPDATE_PERIOD_MS, createLoadExchange } from './load-exchange.js';
import type { LoadExchange } from './load-exchange.js';
import { LOAD_SCOPE } from './load-update.js';

const ENGINE: RegisteredEndpoint = {
  id: 'engine',
  startId: 'engine',
  pool: 'p',
  address: 'engine:1',
  dataCentre: 'dc-0',
  slots: 24,
  isLeaving: false,
  isSpot: false,
  softwareVersion: 'v1',
};

interface Instance {
  readonly self: LoadMember;
  readonly loads: EndpointLoads;
  readonly exchange: LoadExchange;
}

/** Creates a fleet whose updates arrive within a period, unless an instance is disconnected. */
function createFleet(instances: number, dataCentres: number) {
  const members: LoadMember[] = Array.from({ length: instances }, (_, index) => ({
    name: `i-${index}`,
    address: `i-${index}:1`,
    dataCentre: `dc-${index % dataCentres}`,
  }));
  const disconnected = new Set<string>();
  let nowMs = 0;
  const fleet: Instance[] = members.map((self) => {
    const loads = createEndpointLoads();
    return { self, loads, exchange: createLoadExchange({ self, loads, listFleet: () => members }) };
  });
  const instanceAt = new Map(fleet.map((instance) => [instance.self.address, instance]));

  function advanceOne({ self, exchange }: Instance): void {
    const updates = exchange.advance(nowMs);
    if (disconnected.has(self.name)) return;
    for (const { addresses, ...update } of updates) {
      for (const address of addresses) {
        const to = instanceAt.get(address) as Instance;
        const received = { ...update, instance: self.name, dataCentre: self.dataCentre, part: 0 };
        if (!disconnected.has(to.self.name)) to.exchange.handle(received, nowMs);
      }
    }
  }

  return {
    fleet,
    disconnected,
    aggregators: chooseAggregators(members),
    runPeriods(periods: number): void {
      for (let count = 0; count < periods; count += 1) {
        nowMs += LOAD_UPDATE_PERIOD_MS;
        fleet.forEach(advanceOne);
      }
    },
    getNow: () => nowMs,
    /** The calls that each instance knows to be running at the engine. */
    listRunning: () => fleet.map(({ loads }) => loads.get('engine').running),
  };
}

describe('load exchange', ({ it }) => {
  it('distributes all loads to all instances within a few periods at any fleet size', (t) => {
    for (const [instances, dataCentres] of [
      [1, 1],
      [7, 3],
      [13, 1],
      [70, 3],
      [195, 5],
      [300, 5],
    ] as const) {
      const cluster = createFleet(instances, dataCentres);
      cluster.runPeriods(8);
      for (const { loads } of cluster.fleet) loads.start(ENGINE, 500, cluster.getNow());
      cluster.runPeriods(4);
      t.deepEqual(new Set(cluster.listRunning()), new Set([instances]), `${instances} instances`);
    }
  });

  // Guards against calls that are counted twice or after their end, which would make an engine look
  // full.
  it('converges to the correct loads after any sequence of calls', (t) => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 1000 }),
        fc.integer({ min: 2, max: 40 }),
        (seed, size) => {
          const random = createRandom(seed);
          const cluster = createFleet(size, 3);
          let running = 0;
          const ends: (() => void)[] = [];
          for (let step = 0; step < 40; step += 1) {
            const { loads } = cluster.fleet[random.nextIndex(size)] as Instance;
            if (random.next() < 0.6) {
              const ticket = loads.start(
                ENGINE,
                100,
                cluster.getNow(),
                random.next() < 0.5 ? LOAD_CLASS.Urgent : LOAD_CLASS.Normal,
              );
              running += 1;
              ends.push(() => ticket.recordEnd(ENDPOINT_VERDICT.Good, cluster.getNow()));
            } else if (ends.length > 0) {
              ends.splice(random.nextIndex(ends.length), 1)[0]?.();
              running -= 1;
            }
            cluster.runPeriods(random.nextIndex(3));
          }
          cluster.runPeriods(15);
          t.deepEqual(new Set(cluster.listRunning()), new Set([running]));
        },
      ),
      { numRuns: 30 },
    );
  });

  // Guards against calls to engines that look idle because nobody has told an instance their loads.
  it('tells that loads are unknown until they come, for a bounded time', (t) => {
    const mesh = createFleet(3, 3);
    const [starting] = mesh.fleet as [Instance];
    t.false(starting.exchange.isInformed(0));
    // One of two peers has told its loads; the other has not.
    mesh.disconnected.add('i-2');
    mesh.runPeriods(4);
    t.false(starting.exchange.isInformed(mesh.getNow()));
    mesh.runPeriods(8);
    t.true(starting.exchange.isInformed(mesh.getNow()));

    // An aggregator tells the loads of all others at once.
    const large = createFleet(70, 3);
    const reporter = large.fleet.find(({ self }) => !large.aggregators.includes(self.name));
    t.false(reporter?.exchange.isInformed(0));
    large.runPeriods(6);
    t.true(reporter?.exchange.isInformed(large.getNow()));
  });

  // Guards against outdated loads until membership detects the failure of an aggregator.
  it('replaces a silent aggregator in less than two seconds', (t) => {
    const cluster = createFleet(70, 3);
    cluster.runPeriods(8);
    const [failed] = cluster.aggregators;
    cluster.disconnected.add(failed as string);
    for (const { self, loads } of cluster.fleet) {
      if (self.name !== failed) loads.start(ENGINE, 500, cluster.getNow());
    }
    cluster.runPeriods(16);
    const observed = cluster.fleet
      .filter(({ self }) => self.name !== failed)
      .map(({ loads }) => loads.get('engine').running);
    t.deepEqual(new Set(observed), new Set([69]));
  });

  it('bounds the updates sent by one instance in a large fleet', (t) => {
    const cluster = createFleet(300, 5);
    cluster.runPeriods(8);
    const counts = cluster.fleet.map(({ exchange, loads }) => {
      loads.start(ENGINE, 500, cluster.getNow());
      const updates = exchange.advance(cluster.getNow() + LOAD_UPDATE_PERIOD_MS);
      return updates.reduce((sum, { addresses }) => sum + addresses.length, 0);
    });
    t.true(Math.max(...counts) <= 60, `${Math.max(...counts)} datagrams in a period`);
    t.is([...counts].sort((a, b) => a - b)[150], 1);
  });

  it('reports which data centres are heard', (t) => {
    const cluster = createFleet(70, 3);
    cluster.runPeriods(8);
    const aggregator = cluster.fleet.find(
      ({ self }) => self.name === cluster.aggregators[0],
    ) as Instance;
    for (const { self } of cluster.fleet) {
      if (self.dataCentre === 'dc-2') cluster.disconnected.add(self.name);
    }
    cluster.runPeriods(8);
    aggregator.loads.start(ENGINE, 500, cluster.getNow());
    const table = aggregator.exchange
      .advance(cluster.getNow() + LOAD_UPDATE_PERIOD_MS)
      .find(({ scope }) => scope === LOAD_SCOPE.Others);
    t.deepEqual([...(table?.heardDataCentres ?? [])].sort(), ['dc-0', 'dc-1']);
  });
});

describe('aggregators', ({ it }) => {
  it('are all instances of a small fleet and at least two per data centre of a large one', (t) => {
    const build = (count: number): LoadMember[] =>
      Array.from({ length: count }, (_, index) => ({
        name: `i-${index}`,
        address: `i-${index}:1`,
        dataCentre: `dc-${index % 5}`,
      }));
    t.is(chooseAggregators(build(9)).length, 9);
    t.is(chooseAggregators(build(30)).length, 10);
    t.is(chooseAggregators(build(195)).length, 15);
  });

  it('are preferred evenly', (t) => {
    const aggregators = ['a', 'b', 'c'];
    const counts = new Map<string, number>();
    for (let index = 0; index < 300; index += 1) {
      const [first = ''] = listAggregatorsFor(`i-${index}`, aggregators);
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    t.true(Math.max(...counts.values()) < 150);
  });
});
