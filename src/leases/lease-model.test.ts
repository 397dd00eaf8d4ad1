import fc from 'fast-check';
import { describe } from '../test/describe.js';
import {
  LEASE_DURATION_MS,
  FAULT,
  findLeaseViolation,
  runLeaseSimulation,
} from '../test/lease-simulation.js';
import type { LeaseImplementation, SimulationStep, Fault } from '../test/lease-simulation.js';
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
const faults = Object.values(FAULT).filter(
  (fault) => fault !== FAULT.None && fault !== FAULT.Erase,
);

const step: fc.Arbitrary<SimulationStep> = fc.record({
  machine: fc.nat(4),
  fault: fc.oneof(
    { weight: QUIET_STEPS_PER_FAULT, arbitrary: fc.constant<Fault>(FAULT.None) },
    { weight: 1, arbitrary: fc.constantFrom(...faults) },
  ),
});

/** Steps without faults. */
function buildQuietSteps(ms: number): SimulationStep[] {
  return Array.from({ length: ms / STEP_MS }, () => ({ machine: 0, fault: FAULT.None }));
}

/** Faults begin once there is a holder. */
const schedule = fc.tuple(
  fc.integer(),
  fc
    .array(step, { minLength: 200, maxLength: 600 })
    .map((steps) => [...buildQuietSteps(FIRST_TAKEOVER_MS), ...steps]),
);

function findBreaches(parts?: LeaseImplementation): string | undefined {
  const result = fc.check(
    fc.property(schedule, ([seed, steps]) => {
      const calls = runLeaseSimulation(4, steps, createRandom(seed), parts);
      return findLeaseViolation(calls) === undefined;
    }),
    { seed: 12, numRuns: RUNS, endOnFailure: true },
  );
  if (result.counterexample === null) return undefined;
  const [[seed, steps]] = result.counterexample;
  return findLeaseViolation(runLeaseSimulation(4, steps, createRandom(seed), parts));
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
    const createMutant = (
      change: (options: LeaseOptions) => LeaseOptions,
    ): LeaseImplementation => ({
      createLease: (options) => createLease(change(options)),
    });

    it('is taken over too early without the expiry margin', (t) => {
      const parts = createMutant((options) => ({
        ...options,
        timings: { ...options.timings, expiryMarginMs: -LEASE_DURATION_MS / 3 },
      }));
      t.not(findBreaches(parts), undefined);
    });

    it('is used after its expiry', (t) => {
      const parts: LeaseImplementation = {
        createLease(options) {
          const lease = createLease(options);
          return {
            ...lease,
            getGrant(now) {
              const grant = lease.getGrant(now);
              return grant && { ...grant, remainingMs: grant.remainingMs + LEASE_DURATION_MS };
            },
          };
        },
      };
      t.not(findBreaches(parts), undefined);
    });

    it('keeps its grant through a suspension that stops the monotonic clock', (t) => {
      const parts: LeaseImplementation = {
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
      const parts: LeaseImplementation = {
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
      const handovers: SimulationStep[] = [0, 1, 0, 1, 0].flatMap((machine) => [
        { machine, fault: FAULT.Yield },
        ...buildQuietSteps(1200),
      ]);
      const breaches = Array.from({ length: 200 }, (_, seed) =>
        findLeaseViolation(
          runLeaseSimulation(
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
    const listTakeoverTimes = (fault: Fault): number[] =>
      Array.from({ length: 30 }, (_, seed) => {
        const holder = runLeaseSimulation(
          4,
          buildQuietSteps(FIRST_TAKEOVER_MS),
          createRandom(seed),
        ).at(-1);
        const machine = Number(holder?.machine.slice(1));
        const steps = [
          ...buildQuietSteps(FIRST_TAKEOVER_MS),
          { machine, fault },
          ...buildQuietSteps(3 * LEASE_DURATION_MS),
        ];
        const calls = runLeaseSimulation(4, steps, createRandom(seed));
        const last = calls.findLast(({ fence }) => fence === holder?.fence);
        const next = calls.find(({ fence }) => fence > (holder?.fence ?? Infinity));
        return (next?.atMs ?? Infinity) - (last?.atMs ?? 0);
      });

    it('is taken over within two lease durations of a crash', (t) => {
      for (const ms of listTakeoverTimes(FAULT.Kill)) t.true(ms < 2 * LEASE_DURATION_MS);
    });

    it('is not taken over while the holder of a deleted document may still act', (t) => {
      const steps = [
        ...buildQuietSteps(FIRST_TAKEOVER_MS),
        { machine: 0, fault: FAULT.Erase },
        ...buildQuietSteps(8000),
      ];
      for (let seed = 0; seed < 30; seed += 1) {
        const calls = runLeaseSimulation(4, steps, createRandom(seed));
        t.is(findLeaseViolation(calls), undefined);
        t.true((calls.at(-1)?.atMs ?? 0) > FIRST_TAKEOVER_MS + 6000);
      }
    });

    it('is handed over within two renewal intervals of a graceful shutdown', (t) => {
      for (const ms of listTakeoverTimes(FAULT.Drain)) t.true(ms < (2 * LEASE_DURATION_MS) / 3);
    });
  });
});
