/**
 * Runs the tasks that exactly one instance performs for the fleet. All candidates compete for a
 * lease; its holder reports usage and requests endpoints.
 */
import { createLease } from '../leases/lease.js';
import type { Grant, LeaseCommand, LeaseMessage, ClockReading } from '../leases/lease.js';
import type { LeaseDocument } from '../leases/lease-document.js';
import { computeLeaseTimings } from '../leases/lease-timings.js';
import type { TimerService } from '../runtime/timer-service.js';
import { assertNever } from '../utils/assert-never.js';
import type { Random } from '../utils/random.js';
import { DUTY_OUTCOME } from './duty-calls.js';
import type { DutyCalls, DutyOutcome, ScaleRequest, UsageReport } from './duty-calls.js';
import type { DutyObserver } from './duty-observer.js';
import { DUTY_KEY, findRow } from './duty-store.js';
import type { DutySnapshot, DutyStore, DutyWriteResult } from './duty-store.js';
import { decodeEpoch, decodeLease, encodeEpoch } from './duty-rows.js';
import { createPoolScaler } from './pool-scaler.js';
import type { ScalerCommand, ScalerMessage, PoolLoad } from './pool-scaler.js';
import type { FleetTime } from './fleet-time.js';
import type { UsageMeter } from './usage-meter.js';
import { createUsageReporter } from './usage-reporter.js';
import type { UsageCommand, UsageMessage } from './usage-reporter.js';

/** Interval at which the lease is checked. */
const TICK_MS = 100;
/**
 * A change of candidacy takes effect after this time, because a starting instance discovers the others
 * one by one.
 */
const CANDIDACY_STABLE_MS = 1000;
/**
 * Consecutive calls without a response after which the lease is released, since another instance
 * may reach the platform.
 */
const UNANSWERED_CALLS_MAX = 3;
/** Time before an instance that stepped down competes again. */
const STEP_DOWN_MS = 10_000;

/** Commands and messages that the usage reporter and the pool scaler have in common. */
type StoreCommand = Exclude<UsageCommand | ScalerCommand, { kind: 'send' }>;
type StoreMessage = Extract<UsageMessage, { kind: 'read' | 'changed' | 'lost' }>;

export interface FleetDutiesOptions {
  /** Machine name. */
  readonly self: string;
  readonly timers: TimerService;
  readonly random: Random;
  readonly store: DutyStore;
  readonly calls: DutyCalls;
  readonly observer: DutyObserver;
  readonly time: FleetTime;
  readonly meter: UsageMeter;
  readonly leaseMs: number;
  /** On the first start of the whole fleet no earlier holder can exist. */
  readonly isFirstStart: boolean;
  /**
   * Length of a usage window and the reporting deadline after its end; undefined disables reports.
   */
  readonly usage: { readonly windowMs: number; readonly dueMs: number } | undefined;
  readonly isScalingEnabled: boolean;
  /** Whether this instance may compete for the lease. */
  readonly isCandidate: () => boolean;
  readonly isLeaving: () => boolean;
  readonly listPools: () => readonly PoolLoad[];
  readonly getKnowledgeAge: () => number;
}

/** The holder of the duties as observed by this instance. */
export interface DutyStatus {
  readonly holder: string | undefined;
  readonly fence: number;
  readonly isOwn: boolean;
  /** Time since this instance observed the holder. */
  readonly ageMs: number;
  readonly unsentWindows: number;
  readonly desired: readonly ScaleRequest[];
}

export interface FleetDuties {
  getStatus(): DutyStatus;
  /** Steps down for a while; false if this instance does not hold the lease. */
  release(): boolean;
}

export function createFleetDuties(options: FleetDutiesOptions): FleetDuties {
  const { self, timers, random, store, calls, observer, time, meter } = options;
  let writeCount = 0;
  const startedMs = timers.clock.wallMs();
  const lease = createLease({
    holder: self,
    timings: computeLeaseTimings(options.leaseMs, options.isFirstStart),
    createWriteId() {
      writeCount += 1;
      return `${self}-${startedMs}-${writeCount}`;
    },
    computeJitter: () => random.next(),
  });
  const reporter = createUsageReporter({
    windowMs: options.usage?.windowMs ?? Infinity,
    dueMs: options.usage?.dueMs ?? Infinity,
    sum: (window) => meter.sum(window),
    isComplete: (fleetMs) => meter.isComplete(fleetMs, getNow()),
  });
  const scaler = createPoolScaler();
  /** Whether this instance is a candidate, and when that was last confirmed. */
  let candidate = { isWanted: false, sinceMs: timers.clock.monotonicMs() };
  let inFlight = 0;
  let unansweredInRow = 0;
  let ineligibleUntilMs = -Infinity;
  let isActing = false;
  let isEpochWritePending = false;
  let currentHolder:
    { readonly holder: string; readonly fence: number; readonly sinceMs: number } | undefined;

  const getNow = (): number => timers.clock.monotonicMs();
  const readClocks = (): ClockReading => ({
    monotonicMs: timers.clock.monotonicMs(),
    wallMs: timers.clock.wallMs(),
  });
  const getGrant = (): Grant | undefined => lease.getGrant(readClocks());

  /**
   * Debounces candidacy, so that the lease does not move back and forth while membership changes.
   */
  function isStableCandidate(): boolean {
    const nowMs = getNow();
    const isCandidate = options.isCandidate();
    if (isCandidate === candidate.isWanted) candidate = { ...candidate, sinceMs: nowMs };
    else if (nowMs - candidate.sinceMs >= CANDIDACY_STABLE_MS) {
      candidate = { isWanted: isCandidate, sinceMs: nowMs };
    }
    return candidate.isWanted;
  }

  /** Whether this instance should hold the lease. */
  function isEligible(): boolean {
    return isStableCandidate() && !options.isLeaving() && getNow() >= ineligibleUntilMs;
  }

  function updateHolder(): void {
    const lastDocument = lease.getLastDocument();
    if (lastDocument === undefined) return;
    const { holder, fence, isReleased } = lastDocument;
    if (isReleased || currentHolder?.fence === fence) return;
    currentHolder = { holder, fence, sinceMs: getNow() };
    observer.onHolderChanged({ holder, fence, isOwn: holder === self });
  }

  function handleLease(message: LeaseMessage): void {
    const commands = lease.handle(message, readClocks());
    updateHolder();
    for (const command of commands) runLeaseCommand(command);
    if (isActing && getGrant() === undefined) stopActing();
  }

  function stopActing(): void {
    isActing = false;
    handleReporter({ kind: 'lost' });
    handleScaler({ kind: 'lost' });
  }

  async function readRows(): Promise<DutySnapshot | undefined> {
    const rows = await store.read();
    if (rows === undefined) return undefined;
    time.recordSourceTime(rows.sourceMs, getNow());
    const epoch = findRow(rows.rows, DUTY_KEY.Epoch);
    const epochMs = epoch === undefined ? undefined : decodeEpoch(epoch.text);
    if (epochMs !== undefined) time.setEpoch(epochMs);
    return rows;
  }

  async function readLease(): Promise<void> {
    const rows = await readRows();
    if (rows === undefined) return;
    const { newestVersion } = rows;
    handleLease({ kind: 'read', lease: decodeLease(rows.rows), newestVersion });
  }

  function buildWriteResult(
    write: DutyWriteResult,
  ): Extract<LeaseMessage, { kind: 'written' }>['result'] {
    if (write.kind !== 'conflict') return write;
    return { kind: 'conflict', lease: decodeLease(write.rows) };
  }

  async function writeLease(document: LeaseDocument, version: number): Promise<void> {
    const write = await store.write({
      expected: [{ key: DUTY_KEY.Lease, version }],
      writes: [{ key: DUTY_KEY.Lease, text: JSON.stringify(document) }],
      removes: [],
    });
    handleLease({ kind: 'written', writeId: document.writeId, result: buildWriteResult(write) });
    // Guards against a suspension that neither clock shows: calls start only right after a
    // confirmed write.
    if (write.kind === 'written' && !document.isReleased) advanceDuties();
  }

  function runLeaseCommand(command: LeaseCommand): void {
    switch (command.kind) {
      case 'read':
        runTask(readLease());
        break;
      case 'write':
        runTask(writeLease(command.document, command.expectedVersion));
        break;
      default:
        assertNever(command);
    }
  }

  function runTask(task: Promise<void>): void {
    task.catch((error: unknown) => observer.onError(String(error)));
  }

  /** Proposes an epoch; the first proposal stored is final. */
  async function writeEpoch(): Promise<void> {
    const sourceMs = time.computeSourceTime(getNow());
    if (sourceMs === undefined) {
      isEpochWritePending = false;
      return;
    }
    const epochMs = Math.round(timers.clock.wallMs() - sourceMs);
    const write = await store.write({
      expected: [{ key: DUTY_KEY.Epoch, version: 0 }],
      writes: [{ key: DUTY_KEY.Epoch, text: encodeEpoch(epochMs) }],
      removes: [],
    });
    const row = write.kind === 'conflict' ? findRow(write.rows, DUTY_KEY.Epoch) : undefined;
    const agreedMs = row === undefined ? undefined : decodeEpoch(row.text);
    if (write.kind === 'written') time.setEpoch(epochMs);
    else if (agreedMs !== undefined) time.setEpoch(agreedMs);
    isEpochWritePending = false;
  }

  function recordOutcome(outcome: DutyOutcome): void {
    unansweredInRow = outcome === DUTY_OUTCOME.Lost ? unansweredInRow + 1 : 0;
    if (unansweredInRow < UNANSWERED_CALLS_MAX) return;
    unansweredInRow = 0;
    ineligibleUntilMs = getNow() + STEP_DOWN_MS;
  }

  async function runCall(send: () => Promise<DutyOutcome>): Promise<DutyOutcome> {
    inFlight += 1;
    try {
      const outcome = await send();
      recordOutcome(outcome);
      return outcome;
    } finally {
      inFlight -= 1;
    }
  }

  async function sendReport(report: UsageReport): Promise<void> {
    const outcome = await runCall(() => calls.sendUsage(report, getGrant));
    observer.onUsageReported(report, outcome);
    const isAccepted = outcome === DUTY_OUTCOME.Done;
    handleReporter({ kind: 'sent', window: report.window, isAccepted });
  }

  async function sendScaleRequest(request: ScaleRequest): Promise<void> {
    const outcome = await runCall(() => calls.sendScaleRequest(request, getGrant));
    observer.onScaleRequested(request, outcome);
    handleScaler({ kind: 'sent', request, outcome });
  }

  async function runStoreCommand(command: StoreCommand): Promise<StoreMessage> {
    switch (command.kind) {
      case 'read': {
        const rows = await readRows();
        return rows === undefined ? { kind: 'lost' } : { kind: 'read', rows: rows.rows };
      }
      case 'change': {
        const { change } = command;
        return { kind: 'changed', change, write: await store.write(change) };
      }
      default:
        return assertNever(command);
    }
  }

  async function runReporterCommand(command: UsageCommand): Promise<void> {
    if (command.kind === 'send') await sendReport(command.report);
    else handleReporter(await runStoreCommand(command));
  }

  async function runScalerCommand(command: ScalerCommand): Promise<void> {
    if (command.kind === 'send') await sendScaleRequest(command.request);
    else handleScaler(await runStoreCommand(command));
  }

  function handleReporter(message: UsageMessage): void {
    for (const command of reporter.handle(message, getNow())) runTask(runReporterCommand(command));
  }

  function handleScaler(message: ScalerMessage): void {
    for (const command of scaler.handle(message, getNow())) runTask(runScalerCommand(command));
  }

  function advanceDuties(): void {
    if (getGrant() === undefined || !isEligible()) return;
    isActing = true;
    if (time.getEpoch() === undefined && !isEpochWritePending) {
      isEpochWritePending = true;
      runTask(writeEpoch());
    }
    if (options.usage !== undefined) {
      handleReporter({ kind: 'tick', fleetMs: time.computeFleetTime(getNow()) });
    }
    if (!options.isScalingEnabled) return;
    handleScaler({
      kind: 'tick',
      pools: options.listPools(),
      knowledgeAgeMs: options.getKnowledgeAge(),
    });
  }

  timers.subscribe(TICK_MS, () => {
    // The lease is kept while a call is in flight.
    handleLease({ kind: 'tick', isWanted: isEligible() || (isActing && inFlight > 0) });
  });

  return {
    getStatus: () => ({
      holder: currentHolder?.holder,
      fence: currentHolder?.fence ?? 0,
      isOwn: getGrant() !== undefined,
      ageMs: currentHolder === undefined ? 0 : getNow() - currentHolder.sinceMs,
      unsentWindows: reporter.countUnsent(),
      desired: scaler.listDesired(),
    }),
    release() {
      if (getGrant() === undefined) return false;
      ineligibleUntilMs = getNow() + STEP_DOWN_MS;
      return true;
    },
  };
}
