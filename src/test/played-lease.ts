/** Machines with a part in one lease, played step by step, and what the called side sees of its holders. */
import { computeLeaseTimings } from '../leases/lease-bounds.js';
import { createLease } from '../leases/lease.js';
import type { Lease, LeaseCommand, LeaseMessage, ClockReading } from '../leases/lease.js';
import type { VersionedLease } from '../leases/lease-document.js';
import type { Random } from '../utils/random.js';

/** The length of the lease, in milliseconds. */
export const LENGTH_MS = 3000;
/** The called side passes over what comes this soon after its sender woke or was reached again, in milliseconds. */
const RESUME_GRACE_MS = 300;
const STEP_MS = 50;
const TICK_STEPS = 2;
/** A process that is told to leave goes on for at least this long, in milliseconds. */
const DRAIN_MIN_MS = 2800;
/** The longest that the store takes with a call, in milliseconds. */
const STORE_LATENCY_MAX_MS = 6000;
/** Most calls arrive at once, and some as late as they may. */
const CALL_LATENCY_EXPONENT = 6;
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
  CutFromReceiver: 'cut_from_called',
  Heal: 'heal',
  StepForward: 'step_forward',
  StepBack: 'step_back',
  StoreSlow: 'store_slow',
  StoreLosingResponses: 'store_losing',
  StoreUnavailable: 'store_gone',
  StoreHealthy: 'store_well',
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
export interface ReceivedCall {
  readonly machine: string;
  readonly fence: number;
  readonly atMs: number;
  /** It came right after its sender woke or was reached again. */
  readonly isInGracePeriod: boolean;
}

/** What the parts of the play are; a mutant replaces one. */
export interface LeaseParts {
  readonly createLease: typeof createLease;
}

interface Machine {
  readonly name: string;
  readonly queue: LeaseMessage[];
  lease: Lease;
  generation: number;
  isFrozen: boolean;
  isSuspended: boolean;
  downUntilMs: number;
  isLeaving: boolean;
  isCutFromStore: boolean;
  isCutFromReceiver: boolean;
  monotonicMs: number;
  wallStepMs: number;
  graceUntilMs: number;
  /** Calls on their way: while there is one the lease is not given up. */
  inFlight: number;
  /** Calls that were checked and not yet written when the machine stopped. */
  unsentFences: number[];
}

interface DelayedAction {
  readonly atMs: number;
  readonly run: () => void;
}

/** Plays a schedule; the calls in the order in which they came. */
export function runLeasePlay(
  machineCount: number,
  steps: readonly PlayedStep[],
  random: Random,
  parts: LeaseParts = { createLease },
): ReceivedCall[] {
  const received: ReceivedCall[] = [];
  let delayedActions: DelayedAction[] = [];
  let storedLease: VersionedLease | undefined;
  let revision = 1;
  let storeState: Trouble = TROUBLE.StoreHealthy;
  let nowMs = 0;

  function createProcess(name: string, generation: number): Lease {
    let writes = 0;
    return parts.createLease({
      holder: name,
      timings: computeLeaseTimings(LENGTH_MS),
      createWriteId() {
        writes += 1;
        return `${name}-${generation}-${writes}`;
      },
      computeJitter: () => random.next(),
    });
  }

  const machines: Machine[] = Array.from({ length: machineCount }, (_, index) => ({
    name: `m${index}`,
    queue: [],
    lease: createProcess(`m${index}`, 0),
    generation: 0,
    isFrozen: false,
    isSuspended: false,
    downUntilMs: 0,
    isLeaving: false,
    isCutFromStore: false,
    isCutFromReceiver: false,
    monotonicMs: 0,
    wallStepMs: 0,
    graceUntilMs: 0,
    inFlight: 0,
    unsentFences: [],
  }));

  function addDelayed(ms: number, run: () => void): void {
    delayedActions.push({ atMs: nowMs + ms, run });
  }

  function getClockReading(machine: Machine): ClockReading {
    return {
      monotonicMs: machine.monotonicMs,
      wallMs: EPOCH_MS + nowMs + machine.wallStepMs,
    };
  }

  function computeStoreLatencyMs(): number {
    if (storeState === TROUBLE.StoreSlow) return random.next() * STORE_LATENCY_MAX_MS;
    return random.next() * 10;
  }

  /** Performs a write; the ending as the store would tell it. */
  function storeDocument(command: Extract<LeaseCommand, { kind: 'write' }>) {
    const isVersionMatch = (storedLease?.version ?? 0) === command.expectedVersion;
    if (!isVersionMatch) return { kind: 'conflict', lease: storedLease } as const;
    revision += 1;
    storedLease = { version: revision, document: command.document };
    return { kind: 'written', version: revision } as const;
  }

  function postResponse(machine: Machine, generation: number, message: LeaseMessage): void {
    addDelayed(random.next() * 5, () => {
      if (machine.generation === generation && !machine.isCutFromStore) machine.queue.push(message);
    });
  }

  function sendCommand(machine: Machine, command: LeaseCommand): void {
    const { generation } = machine;
    if (machine.isCutFromStore || storeState === TROUBLE.StoreUnavailable) return;
    const isLost = storeState === TROUBLE.StoreLosingResponses && random.next() < 0.4;
    addDelayed(computeStoreLatencyMs(), () => {
      if (command.kind === 'read') {
        const message = { kind: 'read', lease: storedLease, newestVersion: revision } as const;
        if (!isLost) postResponse(machine, generation, message);
        return;
      }
      const result = storeDocument(command);
      const { writeId } = command.document;
      if (!isLost) postResponse(machine, generation, { kind: 'written', writeId, result });
    });
  }

  function handle(machine: Machine, message: LeaseMessage): void {
    for (const command of machine.lease.handle(message, getClockReading(machine))) {
      sendCommand(machine, command);
    }
  }

  function recordCall(machine: Machine, fence: number): void {
    const isInGracePeriod = nowMs < machine.graceUntilMs;
    received.push({ machine: machine.name, fence, atMs: nowMs, isInGracePeriod });
  }

  /** What is written arrives before the grant it was begun under ends: the caller closes its connection then. */
  function sendCall(machine: Machine): void {
    const grant = machine.lease.getGrant(getClockReading(machine));
    if (grant === undefined || machine.isCutFromReceiver || machine.isLeaving) return;
    const { generation } = machine;
    const latencyMs = random.next() ** CALL_LATENCY_EXPONENT * grant.remainingMs;
    machine.inFlight += 1;
    addDelayed(latencyMs, () => {
      if (machine.generation !== generation) return;
      machine.inFlight -= 1;
      if (machine.isCutFromReceiver) return;
      recordCall(machine, grant.fence);
    });
    if (random.next() < 0.1) machine.unsentFences = [grant.fence];
  }

  function startProcess(machine: Machine): void {
    machine.generation += 1;
    machine.lease = createProcess(machine.name, machine.generation);
    machine.queue.length = 0;
    machine.inFlight = 0;
    machine.unsentFences = [];
    machine.isLeaving = false;
    machine.isFrozen = false;
    machine.isSuspended = false;
  }

  function isRunning(machine: Machine): boolean {
    return !machine.isFrozen && nowMs >= machine.downUntilMs;
  }

  function runMachine(machine: Machine, step: number): void {
    if (!isRunning(machine)) return;
    for (const message of machine.queue.splice(0)) handle(machine, message);
    if ((step + machine.generation) % TICK_STEPS === 0) {
      handle(machine, { kind: 'tick', isWanted: !machine.isLeaving || machine.inFlight > 0 });
    }
    if (random.next() < 0.5) sendCall(machine);
  }

  function stopFreeze(machine: Machine): void {
    if (!machine.isFrozen) return;
    machine.isFrozen = false;
    machine.isSuspended = false;
    machine.graceUntilMs = nowMs + RESUME_GRACE_MS;
    // Guards of the caller look again after a wake, but not between a look and the write that follows it.
    for (const fence of machine.unsentFences.splice(0)) recordCall(machine, fence);
  }

  function stopProcess(machine: Machine, downMs: number): void {
    startProcess(machine);
    machine.downUntilMs = nowMs + downMs;
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
      case TROUBLE.CutFromReceiver:
        machine.isCutFromReceiver = true;
        break;
      case TROUBLE.Heal:
        machine.isCutFromStore = false;
        machine.isCutFromReceiver = false;
        break;
      case TROUBLE.StepForward:
        setWallStep(machine, 2400);
        break;
      case TROUBLE.StepBack:
        setWallStep(machine, -2400);
        break;
      case TROUBLE.Erase:
        revision += 1;
        storedLease = undefined;
        break;
      case TROUBLE.None:
        break;
      default:
        storeState = trouble;
        break;
    }
  }

  function runDelayed(): void {
    const due = delayedActions.filter(({ atMs }) => atMs <= nowMs).sort((a, b) => a.atMs - b.atMs);
    delayedActions = delayedActions.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ run }) => run());
  }

  steps.forEach(({ machine, trouble }, step) => {
    nowMs += STEP_MS;
    for (const each of machines) if (!each.isSuspended) each.monotonicMs += STEP_MS;
    applyTrouble(machines[machine % machineCount] as Machine, trouble);
    runDelayed();
    for (const each of machines) runMachine(each, step);
  });
  return received;
}

/** What the called side would complain of; undefined where nothing. */
export function findBreach(calls: readonly ReceivedCall[]): string | undefined {
  const checkedCalls = calls.filter(({ isInGracePeriod: isExcused }) => !isExcused);
  const machineByFence = new Map<number, string>();
  let highest = 0;
  for (const { machine, fence } of checkedCalls) {
    if (fence < highest) return `${machine} came with ${fence} after ${highest}`;
    highest = fence;
    const known = machineByFence.get(fence) ?? machine;
    if (known !== machine) return `${known} and ${machine} both came with ${fence}`;
    machineByFence.set(fence, machine);
  }
  /** When each machine last came, and who came since. */
  let recentCalls: ReceivedCall[] = [];
  for (const call of checkedCalls) {
    recentCalls = recentCalls.filter(({ atMs }) => call.atMs - atMs <= LENGTH_MS);
    const lastOwnCall = recentCalls.findLastIndex(({ machine }) => machine === call.machine);
    if (
      lastOwnCall >= 0 &&
      recentCalls.slice(lastOwnCall).some(({ machine }) => machine !== call.machine)
    ) {
      return `${call.machine} came again within a length of another`;
    }
    recentCalls.push(call);
  }
  return undefined;
}
