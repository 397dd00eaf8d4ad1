import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { ORDER_FLIGHT_MS, ORDER_LEASE } from '../orders/order-lease.js';
import { createLease } from './lease.js';
import type { Lease, LeaseCommand, Moment, WriteEnding } from './lease.js';
import type { ReadLease } from './lease-document.js';

const STEP_MS = 250;

/** A holder with clocks of its own; its monotonic clock may stand still while it is suspended. */
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
  const lease = createLease({ holder: name, bounds: ORDER_LEASE, createWriteId });
  return { lease, queue: [], monotonicMs: 0, isPaused: false };
}

interface Step {
  readonly holder: number;
  readonly action: 'run' | 'pause' | 'suspend' | 'wake' | 'cut_off' | 'reconnected';
  readonly isAnswerLost: boolean;
  /** How long orders sent in this step are on their way, in milliseconds. */
  readonly flightMs: number;
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
  isAnswerLost: fc.integer({ min: 0, max: 5 }).map((draw) => draw === 0),
  flightMs: fc.integer({ min: 0, max: ORDER_FLIGHT_MS - STEP_MS }),
});

/** Orders on their way to an engine that ignores fencing numbers. */
interface Flight {
  readonly fence: number;
  readonly landsMs: number;
}

/** Runs a schedule; the fences in the order in which they reach the engine. */
function runSchedule(steps: readonly Step[]): number[] {
  const holders = [createHolder('a'), createHolder('b'), createHolder('c')];
  const suspended = new Set<Holder>();
  let item: ReadLease | undefined;
  const cutOff = new Set<Holder>();
  let flightMs = 0;
  let nowMs = 0;
  let flights: Flight[] = [];
  const landed: number[] = [];

  const getMoment = (holder: Holder): Moment => ({
    monotonicMs: holder.monotonicMs,
    wallMs: 1_000_000 + nowMs,
  });

  function runCommand(holder: Holder, command: LeaseCommand, isAnswerLost: boolean): void {
    if (cutOff.has(holder)) return;
    if (command.kind === 'read') {
      const message = { kind: 'read' as const, lease: item, newestVersion: 0 };
      holder.queue.push(...holder.lease.handle(message, getMoment(holder)));
      return;
    }
    const isMet = (item?.version ?? 0) === command.expectedVersion;
    if (isMet) item = { version: command.expectedVersion + 1, document: command.document };
    const ending: WriteEnding = isMet
      ? { kind: 'written', version: command.expectedVersion + 1 }
      : { kind: 'conflict', lease: item };
    const { writeId } = command.document;
    const message = {
      kind: 'written' as const,
      writeId,
      ending: isAnswerLost ? ({ kind: 'lost' } as const) : ending,
    };
    holder.queue.push(...holder.lease.handle(message, getMoment(holder)));
  }

  function runHolder(holder: Holder, isAnswerLost: boolean): void {
    if (holder.isPaused) return;
    const moment = getMoment(holder);
    holder.queue.push(...holder.lease.handle({ kind: 'tick', isWanted: true }, moment));
    for (const command of holder.queue.splice(0)) runCommand(holder, command, isAnswerLost);
    const fence = holder.lease.getGrant(getMoment(holder))?.fence;
    if (fence !== undefined) flights.push({ fence, landsMs: nowMs + flightMs });
  }

  function addLanded(): void {
    const due = flights.filter((flight) => flight.landsMs <= nowMs);
    flights = flights.filter((flight) => flight.landsMs > nowMs);
    landed.push(...due.map((flight) => flight.fence));
  }

  for (const step of steps) {
    nowMs += STEP_MS;
    flightMs = step.flightMs;
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
    for (const each of holders) runHolder(each, step.isAnswerLost && each === holder);
    addLanded();
  }
  return landed;
}

function isRising(numbers: readonly number[]): boolean {
  return numbers.every((number, index) => index === 0 || number >= (numbers[index - 1] ?? 0));
}

describe('lease', ({ it }) => {
  it('never lets an old holder’s order arrive after a new one’s, engines not checking', (t) => {
    // An engine unloads the model it was just told to load. A holder is paused or suspended past its
    // lease and wakes, answers are lost, holders are cut off from the table; its old order arrives after the new
    // holder's, at an engine that ignores fencing numbers.
    const property = fc.property(
      fc.array(stepArbitrary, { minLength: 40, maxLength: 160 }),
      (steps) => isRising(runSchedule(steps)),
    );
    t.notThrows(() => fc.assert(property, { seed: 3, numRuns: 1500 }));
  });

  function buildSteps(count: number, holder: number, flightMs: number): Step[] {
    return Array.from({ length: count }, () => ({
      holder,
      action: 'run',
      isAnswerLost: false,
      flightMs,
    }));
  }

  it('waits out the last holder’s slowest order', (t) => {
    // An engine unloads the model it was just told to load. The old holder is cut off from the table,
    // orders until its lease ends, and its last order takes three seconds; the new one's takes none.
    const lastRuns = (ORDER_LEASE.lengthMs - 1000) / STEP_MS;
    const slowMs = ORDER_FLIGHT_MS - STEP_MS;
    const cut: Step[] = [{ holder: 0, action: 'cut_off', isAnswerLost: false, flightMs: slowMs }];
    for (let first = 20; first < 30; first += 1) {
      const steps = [
        ...buildSteps(first, 0, 0),
        ...cut,
        ...buildSteps(lastRuns, 0, slowMs),
        ...buildSteps(40, 1, 0),
      ];
      const fences = runSchedule(steps);
      t.true(isRising(fences));
      t.true((fences.at(-1) ?? 0) > (fences[0] ?? 0));
    }
  });

  it('is taken over after a holder’s death, with a higher number', (t) => {
    const dead: Step[] = [{ holder: 0, action: 'pause', isAnswerLost: false, flightMs: 0 }];
    const after = buildSteps((3 * ORDER_LEASE.lengthMs) / STEP_MS, 1, 0);
    const fences = runSchedule([...buildSteps(20, 0, 0), ...dead, ...after]);
    t.true(isRising(fences));
    t.is(fences[0], 1);
    t.true((fences.at(-1) ?? 0) > (fences[0] ?? 0));
  });
});
