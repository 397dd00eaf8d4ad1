import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { LENGTH_MS, TROUBLE, findBreach, runLeasePlay } from '../test/played-lease.js';
import type { LeaseParts, PlayedStep, Trouble } from '../test/played-lease.js';
import { createRandom } from '../utils/random.js';
import { createLease } from './lease.js';
import type { LeaseOptions } from './lease.js';

const STEP_MS = 50;
/** Time by which the first holder has the lease. */
const FIRST_TAKEOVER_MS = 6000;
/** Schedules per run; `LEASE_RUNS` overrides the number. */
const RUNS = Number(process.env.LEASE_RUNS ?? 1000);
/** Steps without a fault for each step with one. */
const QUIET_STEPS_PER_FAULT = 12;

/** Removal of the document is left out here; a separate test covers it. */
const faults = Object.values(TROUBLE).filter(
  (trouble) => trouble !== TROUBLE.None && trouble !== TROUBLE.Erase,
);

const step: fc.Arbitrary<PlayedStep> = fc.record({
  machine: fc.nat(4),
  trouble: fc.oneof(
    { weight: QUIET_STEPS_PER_FAULT, arbitrary: fc.constant<Trouble>(TROUBLE.None) },
    { weight: 1, arbitrary: fc.constantFrom(...faults) },
  ),
});

/** Steps without faults. */
function buildQuietSteps(ms: number): PlayedStep[] {
  return Array.from({ length: ms / STEP_MS }, () => ({ machine: 0, trouble: TROUBLE.None }));
}

/** Faults begin once there is a holder. */
const schedule = fc.tuple(
  fc.integer(),
  fc
    .array(step, { minLength: 200, maxLength: 600 })
    .map((steps) => [...buildQuietSteps(FIRST_TAKEOVER_MS), ...steps]),
);

function findBreaches(parts?: LeaseParts): string | undefined {
  const result = fc.check(
    fc.property(schedule, ([seed, steps]) => {
      const calls = runLeasePlay(4, steps, createRandom(seed), parts);
      return findBreach(calls) === undefined;
    }),
    { seed: 12, numRuns: RUNS, endOnFailure: true },
  );
  if (result.counterexample === null) return undefined;
  const [[seed, steps]] = result.counterexample;
  return findBreach(runLeasePlay(4, steps, createRandom(seed), parts));
}

describe('lease, as observed by the receiver of calls', ({ describe: block }) => {
  block('under random faults', ({ it }) => {
    // Guards against two concurrent holders, a reused fencing token, and a holder that returns too
    // early.
    it('has one holder at a time, with increasing fencing tokens', (t) => {
      t.is(findBreaches(), undefined);
    });
  });

  block('with one guard disabled', ({ it }) => {
    const createMutant = (change: (options: LeaseOptions) => LeaseOptions): LeaseParts => ({
      createLease: (options) => createLease(change(options)),
    });

    it('is taken over too early without the expiry margin', (t) => {
      const parts = createMutant((options) => ({
        ...options,
        timings: { ...options.timings, expiryMarginMs: -LENGTH_MS / 3 },
      }));
      t.not(findBreaches(parts), undefined);
    });

    it('is used after its expiry', (t) => {
      const parts: LeaseParts = {
        createLease(options) {
          const lease = createLease(options);
          return {
            ...lease,
            getGrant(now) {
              const grant = lease.getGrant(now);
              return grant && { ...grant, remainingMs: grant.remainingMs + LENGTH_MS };
            },
          };
        },
      };
      t.not(findBreaches(parts), undefined);
    });

    it('keeps its grant through a suspension that stops the monotonic clock', (t) => {
      const parts: LeaseParts = {
        createLease(options) {
          const lease = createLease(options);
          const hideWallClock = ({ monotonicMs }: { monotonicMs: number }) => ({
            monotonicMs,
            wallMs: monotonicMs,
          });
          return {
            handle: (message, now) => lease.handle(message, hideWallClock(now)),
            getGrant: (now) => lease.getGrant(hideWallClock(now)),
            getLastDocument: () => lease.getLastDocument(),
          };
        },
      };
      t.not(findBreaches(parts), undefined);
    });

    it('returns to a holder that has just released it', (t) => {
      const parts: LeaseParts = {
        createLease(options) {
          const lease = createLease(options);
          return {
            ...lease,
            handle(message, now) {
              if (message.kind !== 'read' || message.lease === undefined) {
                return lease.handle(message, now);
              }
              const document = { ...message.lease.document, earlier: [] };
              return lease.handle({ ...message, lease: { ...message.lease, document } }, now);
            },
          };
        },
      };
      const handovers: PlayedStep[] = [0, 1, 0, 1, 0].flatMap((machine) => [
        { machine, trouble: TROUBLE.Yield },
        ...buildQuietSteps(1200),
      ]);
      const breaches = Array.from({ length: 200 }, (_, seed) =>
        findBreach(
          runLeasePlay(
            2,
            [...buildQuietSteps(FIRST_TAKEOVER_MS), ...handovers],
            createRandom(seed),
            parts,
          ),
        ),
      );
      t.true(breaches.some((breach) => breach !== undefined));
    });
  });

  block('after the holder stops', ({ it }) => {
    /** Time from the last call of a holder to the first call of its successor, in milliseconds. */
    const listTakeoverTimes = (fault: Trouble): number[] =>
      Array.from({ length: 30 }, (_, seed) => {
        const holder = runLeasePlay(4, buildQuietSteps(FIRST_TAKEOVER_MS), createRandom(seed)).at(
          -1,
        );
        const machine = Number(holder?.machine.slice(1));
        const steps = [
          ...buildQuietSteps(FIRST_TAKEOVER_MS),
          { machine, trouble: fault },
          ...buildQuietSteps(3 * LENGTH_MS),
        ];
        const calls = runLeasePlay(4, steps, createRandom(seed));
        const last = calls.findLast(({ fence }) => fence === holder?.fence);
        const next = calls.find(({ fence }) => fence > (holder?.fence ?? Infinity));
        return (next?.atMs ?? Infinity) - (last?.atMs ?? 0);
      });

    it('is taken over within two lease durations of a crash', (t) => {
      for (const ms of listTakeoverTimes(TROUBLE.Kill)) t.true(ms < 2 * LENGTH_MS);
    });

    it('is not taken over while the holder of a deleted document may still act', (t) => {
      const steps = [
        ...buildQuietSteps(FIRST_TAKEOVER_MS),
        { machine: 0, trouble: TROUBLE.Erase },
        ...buildQuietSteps(8000),
      ];
      for (let seed = 0; seed < 30; seed += 1) {
        const calls = runLeasePlay(4, steps, createRandom(seed));
        t.is(findBreach(calls), undefined);
        t.true((calls.at(-1)?.atMs ?? 0) > FIRST_TAKEOVER_MS + 6000);
      }
    });

    it('is handed over within two renewal intervals of a graceful shutdown', (t) => {
      for (const ms of listTakeoverTimes(TROUBLE.Drain)) t.true(ms < (2 * LENGTH_MS) / 3);
    });
  });
});
