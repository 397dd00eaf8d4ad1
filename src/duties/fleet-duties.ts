/**
 * The work that one instance does for the fleet: holds the lease with the others, and while this instance
 * has it, reports usage and orders endpoints.
 */
import { createLease } from '../leases/lease.js';
import type { Grant, LeaseCommand, LeaseMessage, Moment } from '../leases/lease.js';
import type { LeaseDocument } from '../leases/lease-document.js';
import { resolveLeaseBounds } from '../leases/lease-bounds.js';
import type { TimerService } from '../runtime/timer-service.js';
import { assertNever } from '../utils/assert-never.js';
import type { Random } from '../utils/random.js';
import { DUTY_OUTCOME } from './duty-calls.js';
import type { DutyCalls, DutyOutcome, PoolOrder, UsageReport } from './duty-calls.js';
import type { DutyObserver } from './duty-observer.js';
import { DUTY_KEY, findRow } from './duty-store.js';
import type { DutyRows, DutyStore, DutyWrite } from './duty-store.js';
import { decodeEpoch, decodeLease, encodeEpoch } from './duty-rows.js';
import { createPoolOrders } from './pool-orders.js';
import type { OrdersCommand, OrdersMessage, SizedPool } from './pool-orders.js';
import type { TrueTime } from './true-time.js';
import type { UsageMeter } from './usage-meter.js';
import { createUsageReporter } from './usage-reporter.js';
import type { UsageCommand, UsageMessage } from './usage-reporter.js';

/** The lease is looked at this often, in milliseconds. */
const TICK_MS = 100;
/** Whether this instance may hold the lease counts once it has been so for this long, in milliseconds: who starts learns of the fleet one by one. */
const SETTLED_MS = 1000;
/** Calls in a row without an answer after which the lease is given up: another instance may reach the platform. */
const LOST_MAX = 3;
/** Who gave it up wants it again after this long, in milliseconds. */
const YIELD_MS = 10_000;

/** What the duties are built on. */
export interface FleetDutiesOptions {
  /** The machine. */
  readonly self: string;
  readonly timers: TimerService;
  readonly random: Random;
  readonly store: DutyStore;
  readonly calls: DutyCalls;
  readonly observer: DutyObserver;
  readonly time: TrueTime;
  readonly meter: UsageMeter;
  /** How long a lease is held, in milliseconds. */
  readonly leaseMs: number;
  /** The whole fleet starts for the first time: nobody can have held the lease before. */
  readonly isFirstStart: boolean;
  /** How long a window of usage is and when after its end its report is due, in milliseconds; undefined where nobody reports. */
  readonly usage: { readonly windowMs: number; readonly dueMs: number } | undefined;
  readonly ordersPools: boolean;
  /** Whether this instance is one of those that take the lease. */
  readonly isCandidate: () => boolean;
  readonly isLeaving: () => boolean;
  readonly listPools: () => readonly SizedPool[];
  readonly getKnowledgeAge: () => number;
}

/** Who holds the duties, as this instance knows. */
export interface DutyStatus {
  readonly holder: string | undefined;
  readonly fence: number;
  readonly isOwn: boolean;
  /** Since the holder changed, as this instance saw it, in milliseconds. */
  readonly ageMs: number;
  readonly unsentWindows: number;
  readonly desired: readonly PoolOrder[];
}

/** The duties of one instance. */
export interface FleetDuties {
  getStatus(): DutyStatus;
  /** Gives the lease up for a while; false where this instance does not hold it. */
  release(): boolean;
}

/** Starts taking part. */
export function createFleetDuties(options: FleetDutiesOptions): FleetDuties {
  const { self, timers, random, store, calls, observer, time, meter } = options;
  let writes = 0;
  const started = timers.clock.wallMs();
  const lease = createLease({
    holder: self,
    bounds: resolveLeaseBounds(options.leaseMs, options.isFirstStart),
    createWriteId() {
      writes += 1;
      return `${self}-${started}-${writes}`;
    },
    drawDelay: () => random.next(),
  });
  const reporter = createUsageReporter({
    windowMs: options.usage?.windowMs ?? Infinity,
    dueMs: options.usage?.dueMs ?? Infinity,
    sum: (window) => meter.sum(window),
    isReached: (trueMs) => meter.isReached(trueMs, getNow()),
  });
  const orders = createPoolOrders();
  /** Whether this instance may hold the lease, and when it was last seen to be so. */
  let candidate = { isWanted: false, sinceMs: timers.clock.monotonicMs() };
  let inFlight = 0;
  let lostInRow = 0;
  let yieldsUntilMs = -Infinity;
  let isActing = false;
  let isEpochAsked = false;
  let shown:
    { readonly holder: string; readonly fence: number; readonly sinceMs: number } | undefined;

  const getNow = (): number => timers.clock.monotonicMs();
  const getMoment = (): Moment => ({
    monotonicMs: timers.clock.monotonicMs(),
    wallMs: timers.clock.wallMs(),
  });
  const getGrant = (): Grant | undefined => lease.getGrant(getMoment());

  /** What the fleet last agreed on for a while: taking and giving up the lease by turns would do nobody's work. */
  function isSettledCandidate(): boolean {
    const nowMs = getNow();
    const isCandidate = options.isCandidate();
    if (isCandidate === candidate.isWanted) candidate = { ...candidate, sinceMs: nowMs };
    else if (nowMs - candidate.sinceMs >= SETTLED_MS) {
      candidate = { isWanted: isCandidate, sinceMs: nowMs };
    }
    return candidate.isWanted;
  }

  /** Whether this instance would take up something new. */
  function isWilling(): boolean {
    return isSettledCandidate() && !options.isLeaving() && getNow() >= yieldsUntilMs;
  }

  function recordHolder(): void {
    const seen = lease.getSeen();
    if (seen === undefined) return;
    const { holder, fence, isReleased } = seen;
    if (isReleased || shown?.fence === fence) return;
    shown = { holder, fence, sinceMs: getNow() };
    observer.onHolder({ holder, fence, isOwn: holder === self });
  }

  function handleLease(message: LeaseMessage): void {
    const commands = lease.handle(message, getMoment());
    recordHolder();
    for (const command of commands) runLeaseCommand(command);
    if (isActing && getGrant() === undefined) stopActing();
  }

  function stopActing(): void {
    isActing = false;
    runUsage({ kind: 'lost' });
    runOrders({ kind: 'lost' });
  }

  async function readRows(): Promise<DutyRows | undefined> {
    const rows = await store.read();
    if (rows === undefined) return undefined;
    time.recordSource(rows.sourceMs, getNow());
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

  function buildEnding(write: DutyWrite): Extract<LeaseMessage, { kind: 'written' }>['ending'] {
    if (write.kind !== 'conflict') return write;
    return { kind: 'conflict', lease: decodeLease(write.rows) };
  }

  async function writeLease(document: LeaseDocument, version: number): Promise<void> {
    const write = await store.write({
      expected: [{ key: DUTY_KEY.Lease, version }],
      writes: [{ key: DUTY_KEY.Lease, text: JSON.stringify(document) }],
      removes: [],
    });
    handleLease({ kind: 'written', writeId: document.writeId, ending: buildEnding(write) });
    // Guards against a suspension that the clocks hide: what is begun now was allowed a moment ago.
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
    task.catch((error: unknown) => observer.onFailed(String(error)));
  }

  /** Agrees on a moment of the source's clock; whoever is first decides for good. */
  async function writeEpoch(): Promise<void> {
    const sourceMs = time.computeSource(getNow());
    if (sourceMs === undefined) {
      isEpochAsked = false;
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
    isEpochAsked = false;
  }

  function recordOutcome(outcome: DutyOutcome): void {
    lostInRow = outcome === DUTY_OUTCOME.Lost ? lostInRow + 1 : 0;
    if (lostInRow < LOST_MAX) return;
    lostInRow = 0;
    yieldsUntilMs = getNow() + YIELD_MS;
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
    observer.onReported(report, outcome);
    const isTaken = outcome === DUTY_OUTCOME.Done;
    runUsage({ kind: 'sent', window: report.window, isTaken });
  }

  async function sendOrder(order: PoolOrder): Promise<void> {
    const outcome = await runCall(() => calls.sendOrder(order, getGrant));
    observer.onOrdered(order, outcome);
    runOrders({ kind: 'sent', order, outcome });
  }

  async function runUsageCommand(command: UsageCommand): Promise<void> {
    switch (command.kind) {
      case 'read': {
        const rows = await readRows();
        if (rows === undefined) runUsage({ kind: 'lost' });
        else runUsage({ kind: 'read', rows: rows.rows });
        break;
      }
      case 'change':
        runUsage({
          kind: 'changed',
          change: command.change,
          write: await store.write(command.change),
        });
        break;
      case 'send':
        await sendReport(command.report);
        break;
      default:
        assertNever(command);
    }
  }

  async function runOrdersCommand(command: OrdersCommand): Promise<void> {
    switch (command.kind) {
      case 'read': {
        const rows = await readRows();
        if (rows === undefined) runOrders({ kind: 'lost' });
        else runOrders({ kind: 'read', rows: rows.rows });
        break;
      }
      case 'change':
        runOrders({
          kind: 'changed',
          change: command.change,
          write: await store.write(command.change),
        });
        break;
      case 'send':
        await sendOrder(command.order);
        break;
      default:
        assertNever(command);
    }
  }

  function runUsage(message: UsageMessage): void {
    for (const command of reporter.handle(message, getNow())) runTask(runUsageCommand(command));
  }

  function runOrders(message: OrdersMessage): void {
    for (const command of orders.handle(message, getNow())) runTask(runOrdersCommand(command));
  }

  function advanceDuties(): void {
    if (getGrant() === undefined || !isWilling()) return;
    isActing = true;
    if (time.getEpoch() === undefined && !isEpochAsked) {
      isEpochAsked = true;
      runTask(writeEpoch());
    }
    if (options.usage !== undefined) {
      runUsage({ kind: 'tick', trueMs: time.computeTrue(getNow()) });
    }
    if (!options.ordersPools) return;
    runOrders({
      kind: 'tick',
      pools: options.listPools(),
      knowledgeAgeMs: options.getKnowledgeAge(),
    });
  }

  timers.subscribe(TICK_MS, () => {
    // While a call is on its way the lease is kept, whoever wants it.
    handleLease({ kind: 'tick', isWanted: isWilling() || (isActing && inFlight > 0) });
  });

  return {
    getStatus: () => ({
      holder: shown?.holder,
      fence: shown?.fence ?? 0,
      isOwn: getGrant() !== undefined,
      ageMs: shown === undefined ? 0 : getNow() - shown.sinceMs,
      unsentWindows: reporter.countUnsent(),
      desired: orders.listDesired(),
    }),
    release() {
      if (getGrant() === undefined) return false;
      yieldsUntilMs = getNow() + YIELD_MS;
      return true;
    },
  };
}
