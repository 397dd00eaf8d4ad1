import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { ORDER_TIMEOUT_MS, ORDER_LEASE } from '../orders/order-lease.js';
import { createLease } from './lease.js';
import type { Lease, LeaseCommand, ClockReading, WriteResult } from './lease.js';
import type { VersionedLease } from './lease-document.js';

const STEP_MS = 250;

/** A participant with its own clocks; its monotonic clock may stop while it is suspended. */
interface Holder {
  readonly lease: Lease;
  readonly queue: LeaseCommand[];
  monotonicMs: number;
  isPaused: boolean;
}

function createHolder(name: string): Holder {
  let writes = 0;
  const createWriteId = (): string => {
    writes += 1;
    return `${name}-${writes}`;
  };
  const lease = createLease({ holder: name, timings: ORDER_LEASE, createWriteId });
  return { lease, queue: [], monotonicMs: 0, isPaused: false };
}

interface Step {
  readonly holder: number;
  readonly action: 'run' | 'pause' | 'suspend' | 'wake' | 'cut_off' | 'reconnected';
  readonly isResponseLost: boolean;
  /** Latency of the orders sent in this step. */
  readonly latencyMs: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  holder: fc.integer({ min: 0, max: 2 }),
  action: fc.constantFrom(
    ...([
      'run',
      'run',
      'run',
      'run',
      'pause',
      'suspend',
      'wake',
      'cut_off',
      'reconnected',
    ] as const),
  ),
  isResponseLost: fc.integer({ min: 0, max: 5 }).map((draw) => draw === 0),
  latencyMs: fc.integer({ min: 0, max: ORDER_TIMEOUT_MS - STEP_MS }),
});

/** An order on its way to an engine that does not check fencing tokens. */
interface InFlightOrder {
  readonly fence: number;
  readonly arrivesMs: number;
}

/** Runs a schedule and returns the fencing tokens in order of arrival at the engine. */
function runSchedule(steps: readonly Step[]): number[] {
  const holders = [createHolder('a'), createHolder('b'), createHolder('c')];
  const suspended = new Set<Holder>();
  let stored: VersionedLease | undefined;
  const cutOff = new Set<Holder>();
  let latencyMs = 0;
  let nowMs = 0;
  let inFlight: InFlightOrder[] = [];
  const arrivedFences: number[] = [];

  const getClocks = (holder: Holder): ClockReading => ({
    monotonicMs: holder.monotonicMs,
    wallMs: 1_000_000 + nowMs,
  });

  function runCommand(holder: Holder, command: LeaseCommand, isResponseLost: boolean): void {
    if (cutOff.has(holder)) return;
    if (command.kind === 'read') {
      const message = { kind: 'read' as const, lease: stored, newestVersion: 0 };
      holder.queue.push(...holder.lease.handle(message, getClocks(holder)));
      return;
    }
    const isMet = (stored?.version ?? 0) === command.expectedVersion;
    if (isMet) stored = { version: command.expectedVersion + 1, document: command.document };
    const result: WriteResult = isMet
      ? { kind: 'written', version: command.expectedVersion + 1 }
      : { kind: 'conflict', lease: stored };
    const { writeId } = command.document;
    const message = {
      kind: 'written' as const,
      writeId,
      result: isResponseLost ? ({ kind: 'lost' } as const) : result,
    };
    holder.queue.push(...holder.lease.handle(message, getClocks(holder)));
  }

  function runHolder(holder: Holder, isResponseLost: boolean): void {
    if (holder.isPaused) return;
    const clocks = getClocks(holder);
    holder.queue.push(...holder.lease.handle({ kind: 'tick', isWanted: true }, clocks));
    for (const command of holder.queue.splice(0)) runCommand(holder, command, isResponseLost);
    const fence = holder.lease.getGrant(getClocks(holder))?.fence;
    if (fence !== undefined) inFlight.push({ fence, arrivesMs: nowMs + latencyMs });
  }

  function recordArrivals(): void {
    const due = inFlight.filter((order) => order.arrivesMs <= nowMs);
    inFlight = inFlight.filter((order) => order.arrivesMs > nowMs);
    arrivedFences.push(...due.map((order) => order.fence));
  }

  for (const step of steps) {
    nowMs += STEP_MS;
    latencyMs = step.latencyMs;
    for (const holder of holders) if (!suspended.has(holder)) holder.monotonicMs += STEP_MS;
    const holder = holders[step.holder] as Holder;
    switch (step.action) {
      case 'pause':
        holder.isPaused = true;
        break;
      case 'suspend':
        holder.isPaused = true;
        suspended.add(holder);
        break;
      case 'wake':
        holder.isPaused = false;
        suspended.delete(holder);
        break;
      case 'cut_off':
        cutOff.add(holder);
        break;
      case 'reconnected':
        cutOff.delete(holder);
        break;
      default:
        break;
    }
    for (const each of holders) runHolder(each, step.isResponseLost && each === holder);
    recordArrivals();
  }
  return arrivedFences;
}

function isNonDecreasing(numbers: readonly number[]): boolean {
  return numbers.every((number, index) => index === 0 || number >= (numbers[index - 1] ?? 0));
}

describe('lease', ({ it }) => {
  it('delivers no order of a previous holder after one of its successor', (t) => {
    // Guards against an engine unloading the model it was just told to load, after a pause, a
    // suspension, a lost response or a partition.
    const property = fc.property(
      fc.array(stepArbitrary, { minLength: 40, maxLength: 160 }),
      (steps) => isNonDecreasing(runSchedule(steps)),
    );
    t.notThrows(() => fc.assert(property, { seed: 3, numRuns: 1500 }));
  });

  function buildSteps(count: number, holder: number, latencyMs: number): Step[] {
    return Array.from({ length: count }, () => ({
      holder,
      action: 'run',
      isResponseLost: false,
      latencyMs,
    }));
  }

  it('delays a new holder by the maximum latency of an order', (t) => {
    // Guards against an order that a partitioned holder sent last and that arrives after its
    // successor's.
    const stepsBeforeExpiry = (ORDER_LEASE.durationMs - 1000) / STEP_MS;
    const maxLatencyMs = ORDER_TIMEOUT_MS - STEP_MS;
    const cutOffStep: Step[] = [
      { holder: 0, action: 'cut_off', isResponseLost: false, latencyMs: maxLatencyMs },
    ];
    for (let first = 20; first < 30; first += 1) {
      const steps = [
        ...buildSteps(first, 0, 0),
        ...cutOffStep,
        ...buildSteps(stepsBeforeExpiry, 0, maxLatencyMs),
        ...buildSteps(40, 1, 0),
      ];
      const fences = runSchedule(steps);
      t.true(isNonDecreasing(fences));
      t.true((fences.at(-1) ?? 0) > (fences[0] ?? 0));
    }
  });

  it('is taken over with a higher fencing token after the holder stops', (t) => {
    const pauseStep: Step[] = [{ holder: 0, action: 'pause', isResponseLost: false, latencyMs: 0 }];
    const stepsAfter = buildSteps((3 * ORDER_LEASE.durationMs) / STEP_MS, 1, 0);
    const fences = runSchedule([...buildSteps(20, 0, 0), ...pauseStep, ...stepsAfter]);
    t.true(isNonDecreasing(fences));
    t.is(fences[0], 1);
    t.true((fences.at(-1) ?? 0) > (fences[0] ?? 0));
  });
});
