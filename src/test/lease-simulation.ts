/** Simulates machines that compete for one lease, and checks the fencing tokens that the receiver of their calls gets. */
import { computeLeaseTimings } from '../leases/lease-timings.js';
import { createLease } from '../leases/lease.js';
import type { Lease, LeaseCommand, LeaseMessage, ClockReading } from '../leases/lease.js';
import type { VersionedLease } from '../leases/lease-document.js';
import type { Random } from '../utils/random.js';

export const LEASE_DURATION_MS = 3000;
/** Calls that arrive within this time after their sender resumed are not checked. */
const RESUME_GRACE_MS = 300;
const STEP_MS = 50;
const TICK_STEPS = 2;
/** The shortest time between the start of a drain and the end of the process. */
const DRAIN_MIN_MS = 2800;
const STORE_LATENCY_MAX_MS = 6000;
/** Skews call latency towards zero, with a tail up to the end of the grant. */
const CALL_LATENCY_EXPONENT = 6;
const EPOCH_MS = 1_700_000_000_000;

/** Faults of a machine or of the store. */
export const FAULT = {
  None: 'none',
  /** The process stops; both clocks advance. */
  Freeze: 'freeze',
  /** The process and the monotonic clock stop. */
  Suspend: 'suspend',
  Wake: 'wake',
  /** The process ends, and a new one starts on the machine. */
  Kill: 'kill',
  /** The process releases the lease and ends, and a new one starts. */
  Drain: 'drain',
  /** The process releases the lease and competes for it again. */
  Yield: 'yield',
  CutFromStore: 'cut_from_store',
  CutFromReceiver: 'cut_from_receiver',
  Heal: 'heal',
  StepForward: 'step_forward',
  StepBack: 'step_back',
  StoreSlow: 'store_slow',
  StoreLosingResponses: 'store_losing_responses',
  StoreUnavailable: 'store_unavailable',
  StoreHealthy: 'store_healthy',
  /** The lease document is deleted. */
  Erase: 'erase',
} as const;
export type Fault = (typeof FAULT)[keyof typeof FAULT];

export interface SimulationStep {
  readonly machine: number;
  readonly fault: Fault;
}

export interface ReceivedCall {
  readonly machine: string;
  readonly fence: number;
  readonly atMs: number;
  /** It arrived shortly after its sender resumed, and is not checked. */
  readonly isInGracePeriod: boolean;
}

/** Replaced by tests that check that a faulty lease is detected. */
export interface LeaseImplementation {
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
  /** Calls in flight. The lease is not released while there are any. */
  inFlight: number;
  /** Fences of calls that had passed the grant check but were not yet sent when the machine stopped. */
  unsentFences: number[];
}

interface DelayedAction {
  readonly atMs: number;
  readonly run: () => void;
}

/** Runs a schedule and returns the received calls in order of arrival. */
export function runLeaseSimulation(
  machineCount: number,
  steps: readonly SimulationStep[],
  random: Random,
  parts: LeaseImplementation = { createLease },
): ReceivedCall[] {
  const received: ReceivedCall[] = [];
  let delayedActions: DelayedAction[] = [];
  let storedLease: VersionedLease | undefined;
  let revision = 1;
  let storeState: Fault = FAULT.StoreHealthy;
  let nowMs = 0;

  function createProcess(name: string, generation: number): Lease {
    let writes = 0;
    return parts.createLease({
      holder: name,
      timings: computeLeaseTimings(LEASE_DURATION_MS),
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
    if (storeState === FAULT.StoreSlow) return random.next() * STORE_LATENCY_MAX_MS;
    return random.next() * 10;
  }

  /** Performs a conditional write and returns the response of the store. */
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
    if (machine.isCutFromStore || storeState === FAULT.StoreUnavailable) return;
    const isLost = storeState === FAULT.StoreLosingResponses && random.next() < 0.4;
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

  /** A call arrives before its grant expires, because the caller closes the connection at that time. */
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
    // The caller checks its grant again after resuming, but not between a check and the send that follows.
    for (const fence of machine.unsentFences.splice(0)) recordCall(machine, fence);
  }

  function stopProcess(machine: Machine, downMs: number): void {
    startProcess(machine);
    machine.downUntilMs = nowMs + downMs;
  }

  /** Ignored during a suspension: an equal step back would hide the suspension from both clocks. */
  function setWallStep(machine: Machine, ms: number): void {
    if (!machine.isSuspended) machine.wallStepMs = ms;
  }

  function applyFault(machine: Machine, fault: Fault): void {
    switch (fault) {
      case FAULT.Freeze:
        machine.isFrozen = true;
        break;
      case FAULT.Suspend:
        machine.isFrozen = true;
        machine.isSuspended = true;
        break;
      case FAULT.Wake:
        stopFreeze(machine);
        break;
      case FAULT.Kill:
        stopProcess(machine, random.next() * 1500);
        break;
      case FAULT.Drain:
        machine.isLeaving = true;
        addDelayed(DRAIN_MIN_MS + random.next() * 1000, () => {
          if (machine.isLeaving) stopProcess(machine, 300);
        });
        break;
      case FAULT.Yield:
        machine.isLeaving = true;
        addDelayed(300 + random.next() * 600, () => {
          machine.isLeaving = false;
        });
        break;
      case FAULT.CutFromStore:
        machine.isCutFromStore = true;
        break;
      case FAULT.CutFromReceiver:
        machine.isCutFromReceiver = true;
        break;
      case FAULT.Heal:
        machine.isCutFromStore = false;
        machine.isCutFromReceiver = false;
        break;
      case FAULT.StepForward:
        setWallStep(machine, 2400);
        break;
      case FAULT.StepBack:
        setWallStep(machine, -2400);
        break;
      case FAULT.Erase:
        revision += 1;
        storedLease = undefined;
        break;
      case FAULT.None:
        break;
      default:
        storeState = fault;
        break;
    }
  }

  function runDelayed(): void {
    const due = delayedActions.filter(({ atMs }) => atMs <= nowMs).sort((a, b) => a.atMs - b.atMs);
    delayedActions = delayedActions.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ run }) => run());
  }

  steps.forEach(({ machine, fault }, step) => {
    nowMs += STEP_MS;
    for (const each of machines) if (!each.isSuspended) each.monotonicMs += STEP_MS;
    applyFault(machines[machine % machineCount] as Machine, fault);
    runDelayed();
    for (const each of machines) runMachine(each, step);
  });
  return received;
}

/** Finds a fence that decreased or was shared, or a holder that returned within one lease duration of another. */
export function findLeaseViolation(calls: readonly ReceivedCall[]): string | undefined {
  const checkedCalls = calls.filter(({ isInGracePeriod: isExcused }) => !isExcused);
  const machineByFence = new Map<number, string>();
  let highest = 0;
  for (const { machine, fence } of checkedCalls) {
    if (fence < highest) return `${machine} sent fence ${fence} after fence ${highest}`;
    highest = fence;
    const known = machineByFence.get(fence) ?? machine;
    if (known !== machine) return `${known} and ${machine} both sent fence ${fence}`;
    machineByFence.set(fence, machine);
  }
  /** Calls of the last lease duration. */
  let recentCalls: ReceivedCall[] = [];
  for (const call of checkedCalls) {
    recentCalls = recentCalls.filter(({ atMs }) => call.atMs - atMs <= LEASE_DURATION_MS);
    const lastOwnCall = recentCalls.findLastIndex(({ machine }) => machine === call.machine);
    if (
      lastOwnCall >= 0 &&
      recentCalls.slice(lastOwnCall).some(({ machine }) => machine !== call.machine)
    ) {
      return `${call.machine} sent again within one lease duration of another holder`;
    }
    recentCalls.push(call);
  }
  return undefined;
}
