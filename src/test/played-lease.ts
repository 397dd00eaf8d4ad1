/** Machines with a part in one lease, played step by step, and what the called side sees of its holders. */
import { computeLeaseTimings } from '../leases/lease-bounds.js';
import { createLease } from '../leases/lease.js';
import type { Lease, LeaseCommand, LeaseMessage, ClockReading } from '../leases/lease.js';
import type { VersionedLease } from '../leases/lease-document.js';
import type { Random } from '../utils/random.js';

/** The length of the lease, in milliseconds. */
export const LENGTH_MS = 3000;
/** The called side passes over what comes this soon after its sender woke or was reached again, in milliseconds. */
const THAW_MS = 300;
const STEP_MS = 50;
const TICK_STEPS = 2;
/** A process that is told to leave goes on for at least this long, in milliseconds. */
const DRAIN_MIN_MS = 2800;
/** The longest that the store takes with a call, in milliseconds. */
const STORE_MAX_MS = 6000;
/** Most calls arrive at once, and some as late as they may. */
const FLIGHT_SKEW = 6;
const EPOCH_MS = 1_700_000_000_000;

/** What happens to a machine, or to the store. */
export const TROUBLE = {
  None: 'none',
  /** The process does not run; both clocks go on. */
  Freeze: 'freeze',
  /** The same, and the monotonic clock stands still. */
  Suspend: 'suspend',
  Wake: 'wake',
  /** The process ends; another one starts on the machine a moment later. */
  Kill: 'kill',
  /** It gives the lease up and ends, and starts again. */
  Drain: 'drain',
  /** It gives the lease up and wants it again a moment later. */
  Yield: 'yield',
  CutFromStore: 'cut_from_store',
  CutFromCalled: 'cut_from_called',
  Heal: 'heal',
  StepForward: 'step_forward',
  StepBack: 'step_back',
  StoreSlow: 'store_slow',
  StoreLosing: 'store_losing',
  StoreGone: 'store_gone',
  StoreWell: 'store_well',
  /** The document vanishes. */
  Erase: 'erase',
} as const;
export type Trouble = (typeof TROUBLE)[keyof typeof TROUBLE];

/** One step of a schedule. */
export interface PlayedStep {
  readonly machine: number;
  readonly trouble: Trouble;
}

/** A call as the called side got it. */
export interface ArrivedCall {
  readonly machine: string;
  readonly fence: number;
  readonly atMs: number;
  /** It came right after its sender woke or was reached again. */
  readonly isExcused: boolean;
}

/** What the parts of the play are; a mutant replaces one. */
export interface LeaseParts {
  readonly createLease: typeof createLease;
}

interface Machine {
  readonly name: string;
  readonly queue: LeaseMessage[];
  lease: Lease;
  process: number;
  isFrozen: boolean;
  isSuspended: boolean;
  isDownUntilMs: number;
  isLeaving: boolean;
  isCutFromStore: boolean;
  isCutFromCalled: boolean;
  monotonicMs: number;
  wallStepMs: number;
  excusedUntilMs: number;
  /** Calls on their way: while there is one the lease is not given up. */
  inFlight: number;
  /** Calls that were checked and not yet written when the machine stopped. */
  unwritten: number[];
}

interface Delayed {
  readonly atMs: number;
  readonly run: () => void;
}

/** Plays a schedule; the calls in the order in which they came. */
export function runLeasePlay(
  machineCount: number,
  steps: readonly PlayedStep[],
  random: Random,
  parts: LeaseParts = { createLease },
): ArrivedCall[] {
  const arrived: ArrivedCall[] = [];
  let delayed: Delayed[] = [];
  let item: VersionedLease | undefined;
  let revision = 1;
  let store: Trouble = TROUBLE.StoreWell;
  let nowMs = 0;

  function createProcess(name: string, process: number): Lease {
    let writes = 0;
    return parts.createLease({
      holder: name,
      timings: computeLeaseTimings(LENGTH_MS),
      createWriteId() {
        writes += 1;
        return `${name}-${process}-${writes}`;
      },
      computeJitter: () => random.next(),
    });
  }

  const machines: Machine[] = Array.from({ length: machineCount }, (_, index) => ({
    name: `m${index}`,
    queue: [],
    lease: createProcess(`m${index}`, 0),
    process: 0,
    isFrozen: false,
    isSuspended: false,
    isDownUntilMs: 0,
    isLeaving: false,
    isCutFromStore: false,
    isCutFromCalled: false,
    monotonicMs: 0,
    wallStepMs: 0,
    excusedUntilMs: 0,
    inFlight: 0,
    unwritten: [],
  }));

  function addDelayed(ms: number, run: () => void): void {
    delayed.push({ atMs: nowMs + ms, run });
  }

  function getMoment(machine: Machine): ClockReading {
    return {
      monotonicMs: machine.monotonicMs,
      wallMs: EPOCH_MS + nowMs + machine.wallStepMs,
    };
  }

  function computeStoreMs(): number {
    if (store === TROUBLE.StoreSlow) return random.next() * STORE_MAX_MS;
    return random.next() * 10;
  }

  /** Performs a write; the ending as the store would tell it. */
  function storeDocument(command: Extract<LeaseCommand, { kind: 'write' }>) {
    const isMet = (item?.version ?? 0) === command.expectedVersion;
    if (!isMet) return { kind: 'conflict', lease: item } as const;
    revision += 1;
    item = { version: revision, document: command.document };
    return { kind: 'written', version: revision } as const;
  }

  function postAnswer(machine: Machine, process: number, message: LeaseMessage): void {
    addDelayed(random.next() * 5, () => {
      if (machine.process === process && !machine.isCutFromStore) machine.queue.push(message);
    });
  }

  function sendCommand(machine: Machine, command: LeaseCommand): void {
    const { process } = machine;
    if (machine.isCutFromStore || store === TROUBLE.StoreGone) return;
    const isLost = store === TROUBLE.StoreLosing && random.next() < 0.4;
    addDelayed(computeStoreMs(), () => {
      if (command.kind === 'read') {
        const message = { kind: 'read', lease: item, newestVersion: revision } as const;
        if (!isLost) postAnswer(machine, process, message);
        return;
      }
      const ending = storeDocument(command);
      const { writeId } = command.document;
      if (!isLost) postAnswer(machine, process, { kind: 'written', writeId, result: ending });
    });
  }

  function handle(machine: Machine, message: LeaseMessage): void {
    for (const command of machine.lease.handle(message, getMoment(machine))) {
      sendCommand(machine, command);
    }
  }

  function recordCall(machine: Machine, fence: number): void {
    const isExcused = nowMs < machine.excusedUntilMs;
    arrived.push({ machine: machine.name, fence, atMs: nowMs, isExcused });
  }

  /** What is written arrives before the grant it was begun under ends: the caller closes its connection then. */
  function sendCall(machine: Machine): void {
    const grant = machine.lease.getGrant(getMoment(machine));
    if (grant === undefined || machine.isCutFromCalled || machine.isLeaving) return;
    const { process } = machine;
    const flightMs = random.next() ** FLIGHT_SKEW * grant.remainingMs;
    machine.inFlight += 1;
    addDelayed(flightMs, () => {
      if (machine.process !== process) return;
      machine.inFlight -= 1;
      if (machine.isCutFromCalled) return;
      recordCall(machine, grant.fence);
    });
    if (random.next() < 0.1) machine.unwritten = [grant.fence];
  }

  function startProcess(machine: Machine): void {
    machine.process += 1;
    machine.lease = createProcess(machine.name, machine.process);
    machine.queue.length = 0;
    machine.inFlight = 0;
    machine.unwritten = [];
    machine.isLeaving = false;
    machine.isFrozen = false;
    machine.isSuspended = false;
  }

  function isRunning(machine: Machine): boolean {
    return !machine.isFrozen && nowMs >= machine.isDownUntilMs;
  }

  function runMachine(machine: Machine, step: number): void {
    if (!isRunning(machine)) return;
    for (const message of machine.queue.splice(0)) handle(machine, message);
    if ((step + machine.process) % TICK_STEPS === 0) {
      handle(machine, { kind: 'tick', isWanted: !machine.isLeaving || machine.inFlight > 0 });
    }
    if (random.next() < 0.5) sendCall(machine);
  }

  function stopFreeze(machine: Machine): void {
    if (!machine.isFrozen) return;
    machine.isFrozen = false;
    machine.isSuspended = false;
    machine.excusedUntilMs = nowMs + THAW_MS;
    // Guards of the caller look again after a wake, but not between a look and the write that follows it.
    for (const fence of machine.unwritten.splice(0)) recordCall(machine, fence);
  }

  function stopProcess(machine: Machine, downMs: number): void {
    startProcess(machine);
    machine.isDownUntilMs = nowMs + downMs;
  }

  /** Not while it is suspended: a step back by as much hides the suspension from both clocks. */
  function setWallStep(machine: Machine, ms: number): void {
    if (!machine.isSuspended) machine.wallStepMs = ms;
  }

  function applyTrouble(machine: Machine, trouble: Trouble): void {
    switch (trouble) {
      case TROUBLE.Freeze:
        machine.isFrozen = true;
        break;
      case TROUBLE.Suspend:
        machine.isFrozen = true;
        machine.isSuspended = true;
        break;
      case TROUBLE.Wake:
        stopFreeze(machine);
        break;
      case TROUBLE.Kill:
        stopProcess(machine, random.next() * 1500);
        break;
      case TROUBLE.Drain:
        machine.isLeaving = true;
        addDelayed(DRAIN_MIN_MS + random.next() * 1000, () => {
          if (machine.isLeaving) stopProcess(machine, 300);
        });
        break;
      case TROUBLE.Yield:
        machine.isLeaving = true;
        addDelayed(300 + random.next() * 600, () => {
          machine.isLeaving = false;
        });
        break;
      case TROUBLE.CutFromStore:
        machine.isCutFromStore = true;
        break;
      case TROUBLE.CutFromCalled:
        machine.isCutFromCalled = true;
        break;
      case TROUBLE.Heal:
        machine.isCutFromStore = false;
        machine.isCutFromCalled = false;
        break;
      case TROUBLE.StepForward:
        setWallStep(machine, 2400);
        break;
      case TROUBLE.StepBack:
        setWallStep(machine, -2400);
        break;
      case TROUBLE.Erase:
        revision += 1;
        item = undefined;
        break;
      case TROUBLE.None:
        break;
      default:
        store = trouble;
        break;
    }
  }

  function runDelayed(): void {
    const due = delayed.filter(({ atMs }) => atMs <= nowMs).sort((a, b) => a.atMs - b.atMs);
    delayed = delayed.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ run }) => run());
  }

  steps.forEach(({ machine, trouble }, step) => {
    nowMs += STEP_MS;
    for (const each of machines) if (!each.isSuspended) each.monotonicMs += STEP_MS;
    applyTrouble(machines[machine % machineCount] as Machine, trouble);
    runDelayed();
    for (const each of machines) runMachine(each, step);
  });
  return arrived;
}

/** What the called side would complain of; undefined where nothing. */
export function findBreach(calls: readonly ArrivedCall[]): string | undefined {
  const counted = calls.filter(({ isExcused }) => !isExcused);
  const machineOf = new Map<number, string>();
  let highest = 0;
  for (const { machine, fence } of counted) {
    if (fence < highest) return `${machine} came with ${fence} after ${highest}`;
    highest = fence;
    const known = machineOf.get(fence) ?? machine;
    if (known !== machine) return `${known} and ${machine} both came with ${fence}`;
    machineOf.set(fence, machine);
  }
  /** When each machine last came, and who came since. */
  let turns: ArrivedCall[] = [];
  for (const call of counted) {
    turns = turns.filter(({ atMs }) => call.atMs - atMs <= LENGTH_MS);
    const own = turns.findLastIndex(({ machine }) => machine === call.machine);
    if (own >= 0 && turns.slice(own).some(({ machine }) => machine !== call.machine)) {
      return `${call.machine} came again within a length of another`;
    }
    turns.push(call);
  }
  return undefined;
}
