import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { VERSIONS, createStreamFleet } from '../test/stream-fleet.js';
import type { SimulatedStream, StreamFleet } from '../test/stream-fleet.js';
import { createRandom } from '../utils/random.js';

const INSTANCES = 7;
const LIFE_MS = 10_000;
/** Longer than a life of streams and the time for which an old view may serve. */
const SETTLED_MS = 20_000;
const DAYS = 400;
const ROUNDS_MAX = 4;
const TAKE_UPS = 40;
/** A read that is slower than its time limit, one time in a few. */
const SLOW_READ_MS = 900;
const READ_MS = 10;
/** Longest wait of a caller for what its instance and others conclude. */
const RESOLVED_MAX_MS = 900;
/** An instance hears of a store that is away after this at the latest. */
const AWAY_KNOWN_MS = 3000;
const VERSION_SETS = [['v1'], ['v2'], VERSIONS] as const;

function startFleet(instances: number, seed: number, lossProbability = 0.05): StreamFleet {
  const fleet = createStreamFleet({ instances, random: createRandom(seed), lossProbability });
  fleet.setVersions(['v1']);
  fleet.runFor(SETTLED_MS);
  return fleet;
}

const INSTANCE = fc.nat(INSTANCES - 1);
const START = fc.record({ kind: fc.constant('start' as const), instance: INSTANCE });
const TAKE_UP = fc.record({
  kind: fc.constant('take_up' as const),
  instance: INSTANCE,
  stream: fc.nat(),
});
const VERSIONS_SET = fc.record({
  kind: fc.constant('versions' as const),
  versions: fc.constantFrom(...VERSION_SETS),
});
const FAULT = fc.oneof(
  fc.record({
    kind: fc.constantFrom('store_cut' as const, 'peers_cut' as const, 'both_cut' as const),
    instance: INSTANCE,
    isCut: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('lag' as const),
    instance: INSTANCE,
    ms: fc.constantFrom(0, 100, 1000, 5000),
  }),
  fc.record({ kind: fc.constant('stop' as const), instance: INSTANCE }),
  fc.record({ kind: fc.constant('list' as const), instance: INSTANCE }),
  fc.record({ kind: fc.constant('store' as const), isAway: fc.boolean() }),
  fc.record({ kind: fc.constant('read' as const), isSlow: fc.boolean() }),
);

type ValueOf<Source> = Source extends fc.Arbitrary<infer Value> ? Value : never;
type Step =
  | ValueOf<typeof START | typeof TAKE_UP | typeof VERSIONS_SET | typeof FAULT>
  | { readonly kind: 'run'; readonly ms: number };

function buildRun(min: number, max: number): fc.Arbitrary<Step> {
  return fc.record({ kind: fc.constant('run' as const), ms: fc.integer({ min, max }) });
}

/** Faults, then versions that come and go, streams that begin and are taken up, and a pause. */
const ROUND: fc.Arbitrary<Step[]> = fc
  .tuple(
    fc.array(FAULT, { maxLength: 4 }),
    buildRun(5, 2500),
    VERSIONS_SET,
    buildRun(5, 300),
    fc.array(START, { minLength: 1, maxLength: 4 }),
    buildRun(5, 600),
    fc.array(TAKE_UP, { minLength: 2, maxLength: 8 }),
    fc.array(FAULT, { maxLength: 3 }),
    fc.oneof(buildRun(50, 6000), buildRun(12_000, 20_000)),
    fc.array(TAKE_UP, { maxLength: 3 }),
  )
  .map((parts) => parts.flat());

interface BegunStream extends SimulatedStream {
  readonly begunMs: number;
}

interface Day {
  readonly fleet: StreamFleet;
  readonly begun: BegunStream[];
  readonly stopped: Set<number>;
}

/** Whether the stream, if it is still of use, went on at its version or not at all. */
function isKept({ fleet, begun, stopped }: Day, instance: number, index: number): boolean {
  const stream = begun[index % Math.max(1, begun.length)];
  if (stream === undefined || stopped.has(instance)) return true;
  if (fleet.getNow() - stream.begunMs > LIFE_MS) return true;
  const { version } = fleet.resumeAt(instance, stream);
  return version === undefined || version === stream.version;
}

/** Returns whether no stream went on at another version. */
function runStep(day: Day, step: Step): boolean {
  const { fleet, begun, stopped } = day;
  switch (step.kind) {
    case 'start': {
      const stream = fleet.startAt(step.instance);
      if (stream !== undefined) begun.push({ ...stream, begunMs: fleet.getNow() });
      return true;
    }
    case 'take_up':
      return isKept(day, step.instance, step.stream);
    case 'run':
      fleet.runFor(step.ms);
      return true;
    case 'versions':
      fleet.setVersions(step.versions);
      return true;
    case 'store_cut':
      fleet.setStoreCut(step.instance, step.isCut);
      return true;
    case 'peers_cut':
      fleet.setPeersCut(step.instance, step.isCut);
      return true;
    case 'both_cut':
      fleet.setStoreCut(step.instance, step.isCut);
      fleet.setPeersCut(step.instance, step.isCut);
      return true;
    case 'lag':
      fleet.setLag(step.instance, step.ms);
      return true;
    case 'stop':
      if (stopped.size < INSTANCES - 2) {
        stopped.add(step.instance);
        fleet.stop(step.instance);
      }
      return true;
    case 'list':
      fleet.applyList(step.instance);
      return true;
    case 'store':
      fleet.setStoreAway(step.isAway);
      return true;
    default:
      fleet.setReadTime(step.isSlow ? SLOW_READ_MS : READ_MS);
      return true;
  }
}

interface TakeUps {
  readonly goneOn: number;
  readonly slowestMs: number;
}

/** Begins streams all over the fleet and takes each up elsewhere. */
function runTakeUps(fleet: StreamFleet): TakeUps {
  const streams = Array.from({ length: TAKE_UPS }, () => fleet.start('v1'));
  fleet.runFor(50);
  const resumed = streams.map((stream) => fleet.resume(stream));
  return {
    goneOn: resumed.filter(({ version }) => version === 'v1').length,
    slowestMs: Math.max(...resumed.map(({ tookMs }) => tookMs)),
  };
}

describe('streams at instances that are out of step', ({ it }) => {
  // Guards against a view that was confirmed lately, yet not after the stream began.
  it('are not joined by one that was cut off, with a version that came meanwhile', (t) => {
    for (const cutMs of [50, 150, 500, 1000, 2000]) {
      const fleet = startFleet(INSTANCES, cutMs);
      fleet.setStoreCut(0, true);
      fleet.setPeersCut(0, true);
      fleet.runFor(cutMs);
      fleet.setVersions(['v2']);
      fleet.runFor(50);
      const stream = fleet.startAt(1);
      t.is(stream?.version, 'v2');
      if (stream !== undefined) t.is(fleet.resumeAt(0, stream).version, undefined, `${cutMs} ms`);
    }
  });

  // Guards against streams that an instance begins on a version after others have seen it leave.
  it('are not joined by others, if their instance could still begin them by an old view', (t) => {
    const fleet = startFleet(INSTANCES, 3);
    fleet.setStoreCut(0, true);
    fleet.setPeersCut(0, true);
    fleet.setVersions(['v2']);
    fleet.runFor(4000);
    const stream = fleet.startAt(0);
    t.is(stream?.version, 'v1');
    fleet.runFor(LIFE_MS - 2000);
    if (stream !== undefined) t.is(fleet.resumeAt(1, stream).version, undefined);
  });

  // Guards against all instances that forget what they have seen when a new watcher lists the registry.
  it('go on by what was known before a list, unless a version came and went since', (t) => {
    const resolveAfterList = (versions: readonly string[]): string | undefined => {
      const fleet = startFleet(2, 4, 0);
      const stream = fleet.start('v1');
      fleet.setVersions(versions);
      fleet.setVersions(['v1']);
      fleet.applyList(1 - stream.instance);
      fleet.stop(stream.instance);
      fleet.runFor(100);
      return fleet.resumeAt(1 - stream.instance, stream).version;
    };
    t.is(resolveAfterList([]), 'v1');
    t.is(resolveAfterList(VERSIONS), undefined);
  });

  // Guards against any series of faults by which a stream goes on at another version.
  it('go on at the version that began them or not at all, whatever fails', (t) => {
    fc.assert(
      fc.property(
        fc.array(ROUND, { minLength: 1, maxLength: ROUNDS_MAX }),
        fc.nat(),
        (rounds, seed) => {
          const day = {
            fleet: startFleet(INSTANCES, seed, 0.2),
            begun: [],
            stopped: new Set<number>(),
          };
          return rounds.flat().every((step) => runStep(day, step));
        },
      ),
      { numRuns: DAYS },
    );
    t.pass();
  });

  for (const instances of [7, 70, 410]) {
    // Guards against refusing streams of a pool with one version while nothing is wrong.
    it(`all go on on a calm day, at ${instances}`, (t) => {
      const fleet = startFleet(instances, 1);
      const { goneOn, slowestMs } = runTakeUps(fleet);
      t.is(goneOn, TAKE_UPS);
      t.true(slowestMs <= RESOLVED_MAX_MS, `${slowestMs} ms`);
      t.true(fleet.countLooks() <= TAKE_UPS, `${fleet.countLooks()} looks`);
    });

    // Guards against refusing them while the store is away for everybody.
    it(`go on while the store is away and their instances live, at ${instances}`, (t) => {
      const fleet = startFleet(instances, 2);
      fleet.setStoreAway(true);
      const atOnce = runTakeUps(fleet);
      fleet.runFor(AWAY_KNOWN_MS);
      const later = runTakeUps(fleet);
      t.log(`${atOnce.goneOn}, ${later.goneOn} of ${TAKE_UPS}, ${atOnce.slowestMs} ms`);
      t.true(later.goneOn >= TAKE_UPS * 0.9, `${later.goneOn} went on`);
      t.true(atOnce.goneOn >= TAKE_UPS * 0.9, `${atOnce.goneOn} went on at once`);
      t.true(atOnce.slowestMs <= RESOLVED_MAX_MS, `${atOnce.slowestMs} ms`);
    });
  }
});
