import fc from 'fast-check';
import { VERSIONS, createStreamFleet } from '../test/stream-fleet.js';
import type { SimulatedStream, StreamFleet } from '../test/stream-fleet.js';
import { describe } from '../test/describe.js';
import { createRandom } from '../utils/random.js';

const SIZES = [7, 70, 195, 410];
const STREAMS = 40;
/** Time after the first event in which all copies of what is told arrive. */
const TOLD_MS = 300;
/** Share of the streams that must go on, as of new streams that begin. */
const GOING_ON_SHARE_MIN = 0.5;
/** Longest wait for the answers of other instances. */
const QUERY_MAX_MS = 200;
/** Two lives of a stream. */
const SETTLED_MS = 20_000;
const RUNS = 25;

function startFleet(instances: number, seed: number, lossProbability = 0.01): StreamFleet {
  const fleet = createStreamFleet({ instances, random: createRandom(seed), lossProbability });
  fleet.runFor(TOLD_MS);
  return fleet;
}

function startStreams(fleet: StreamFleet, count = STREAMS): SimulatedStream[] {
  return Array.from({ length: count }, (_, index) =>
    fleet.start(VERSIONS[index % VERSIONS.length] as string),
  );
}

describe('bindings of streams in a fleet', ({ describe: describeInner, it }) => {
  for (const instances of SIZES) {
    describeInner(`of ${instances} instances`, ({ it: itOfSize }) => {
      // Guards against knowledge that dies with the instance that began the stream.
      itOfSize('outlive the instances that began the streams, and one more', (t) => {
        const fleet = startFleet(instances, 1);
        const streams = startStreams(fleet);
        fleet.runFor(TOLD_MS);
        const [first] = streams as [SimulatedStream];
        fleet.stop(first.instance);
        fleet.stop((first.instance + 1) % instances);
        const resumed = streams.map((stream) => ({ stream, ...fleet.resume(stream) }));
        const wrong = resumed.filter(
          ({ stream, version }) => version !== undefined && version !== stream.version,
        );
        const known = resumed.filter(({ version }) => version !== undefined);
        t.is(wrong.length, 0);
        t.true(known.length >= STREAMS * GOING_ON_SHARE_MIN, `${known.length} known`);
        t.true(resumed.every(({ tookMs }) => tookMs <= QUERY_MAX_MS));
      });

      // Guards against paying for a second version while there is none.
      itOfSize('cost nothing while the pool has one version', (t) => {
        const fleet = startFleet(instances, 2);
        fleet.setVersions(['v1']);
        fleet.runFor(SETTLED_MS);
        const before = fleet.countDatagrams();
        const streams = Array.from({ length: STREAMS }, () => fleet.start('v1'));
        fleet.runFor(TOLD_MS);
        t.is(fleet.countDatagrams(), before);
        t.true(streams.every((stream) => fleet.resume(stream).version === 'v1'));
      });

      // Guards against streams that nobody told of when the second version appears.
      itOfSize('are told when a second version appears', (t) => {
        const fleet = startFleet(instances, 3);
        fleet.setVersions(['v1']);
        fleet.runFor(SETTLED_MS);
        const streams = Array.from({ length: STREAMS }, () => fleet.start('v1'));
        fleet.runFor(TOLD_MS);
        fleet.setVersions(VERSIONS);
        fleet.runFor(TOLD_MS);
        const known = streams.filter((stream) => fleet.resume(stream).version === 'v1');
        t.true(known.length >= STREAMS * GOING_ON_SHARE_MIN, `${known.length} known`);
      });
    });
  }

  // Guards against an instance that guesses while it is cut off.
  it('are unknown to an instance that is cut off', (t) => {
    const fleet = startFleet(7, 4);
    fleet.setVersions(['v1']);
    fleet.runFor(SETTLED_MS);
    fleet.setCut(0, true);
    fleet.setVersions(VERSIONS);
    fleet.runFor(TOLD_MS);
    const streams = startStreams(fleet).filter(({ instance }) => instance !== 0);
    fleet.runFor(TOLD_MS);
    for (const stream of streams) t.is(fleet.resumeAt(0, stream).version, undefined);
  });

  // Guards against a conclusion from a view that was not confirmed while a version came and went.
  it('are not concluded before the view was confirmed for a stream life again', (t) => {
    const fleet = startFleet(7, 5);
    fleet.setVersions(['v1']);
    fleet.runFor(SETTLED_MS);
    for (let instance = 0; instance < 7; instance += 1) fleet.setCut(instance, true);
    fleet.runFor(TOLD_MS);
    for (let instance = 0; instance < 7; instance += 1) fleet.setCut(instance, false);
    fleet.runFor(TOLD_MS);
    t.is(fleet.resume({ callId: 'lost', instance: 0, version: 'v2' }).version, undefined);
  });

  // Guards against refusing callers that name no call where the pool has one version only.
  it('are concluded by others for an instance that cannot, whatever call is named', (t) => {
    const fleet = startFleet(7, 8);
    fleet.setVersions(['v1']);
    fleet.runFor(SETTLED_MS);
    fleet.setCut(3, true);
    fleet.runFor(TOLD_MS);
    fleet.setCut(3, false);
    fleet.runFor(TOLD_MS);
    const unnamed = { callId: '', instance: 0, version: 'v1' };
    t.is(fleet.resumeAt(3, unnamed).version, 'v1');
    fleet.setVersions(VERSIONS);
    fleet.runFor(TOLD_MS);
    t.is(fleet.resumeAt(3, unnamed).version, undefined);
  });

  // Guards against one organisation that names another's call.
  it('are unknown to another organisation', (t) => {
    const fleet = startFleet(7, 6);
    const [stream] = startStreams(fleet, 1) as [SimulatedStream];
    fleet.runFor(TOLD_MS);
    t.is(fleet.resume(stream, 'another').version, undefined);
    t.is(fleet.resume(stream).version, stream.version);
  });

  // Guards against streams of two versions under any series of ends, cuts and changes.
  it('are never wrong, whoever ends, is cut off or loses datagrams', (t) => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('start' as const), version: fc.constantFrom(...VERSIONS) }),
      fc.record({ kind: fc.constant('stop' as const), instance: fc.nat(8) }),
      fc.record({
        kind: fc.constant('cut' as const),
        instance: fc.nat(8),
        isCut: fc.boolean(),
      }),
      fc.record({ kind: fc.constant('run' as const), ms: fc.integer({ min: 50, max: 4000 }) }),
      fc.record({ kind: fc.constant('resume' as const), index: fc.nat(30) }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), fc.nat(), (steps, seed) => {
        const fleet = startFleet(9, seed, 0.3);
        const streams: SimulatedStream[] = [];
        let live = 9;
        const stopped = new Set<number>();
        return steps.every((next) => {
          if (next.kind === 'start') streams.push(fleet.start(next.version));
          if (next.kind === 'stop' && live > 2 && !stopped.has(next.instance)) {
            stopped.add(next.instance);
            live -= 1;
            fleet.stop(next.instance);
          }
          if (next.kind === 'cut') fleet.setCut(next.instance, next.isCut);
          if (next.kind === 'run') fleet.runFor(next.ms);
          const stream = next.kind === 'resume' ? streams[next.index] : undefined;
          if (stream === undefined) return true;
          const { version } = fleet.resume(stream);
          return version === undefined || version === stream.version;
        });
      }),
      { numRuns: RUNS },
    );
    t.pass();
  });
});
