/**
 * Reports usage window by window: fixes a window's counts in the store under a condition, before anybody
 * sends them, and sends just what is fixed until it is acknowledged, whoever holds the duty then. Free of
 * I/O.
 *
 * Guards against two different reports of one window, which no one can tell apart afterwards: a holder
 * that dies between its call and the answer leaves behind what it sent, and the next sends the same.
 */
import { assertNever } from '../utils/assert-never.js';
import type { UsageReport } from './duty-calls.js';
import { DUTY_KEY, USAGE_PREFIX, findRow } from './duty-store.js';
import type { DutyChange, DutyRow, DutyWriteResult } from './duty-store.js';
import {
  decodeThroughWindow,
  encodeThroughWindow,
  formatUsageKey,
  listReports,
  encodeReport,
} from './usage-rows.js';
import type { UsageCount } from './usage-ledger.js';

/** A window's counts are fixed no sooner than this after its end, in milliseconds: calls that began in it are still on their way. */
const COMMIT_DELAY_MS = 700;
/** And no later than this part of the time in which it is due: what is left is for sending. */
const COMMIT_DEADLINE_SHARE = 0.5;
/** Windows that are made up for after a time without any holder. */
const BACKFILL_WINDOWS_MAX = 12;
/** Windows that are fixed at one time. */
const COMMIT_BATCH_MAX = 4;
/** A report that was not taken is sent again after this long, in milliseconds. */
const RETRY_DELAY_MS = 1500;

/** What a reporter is built on. */
export interface UsageReporterOptions {
  /** How long a window is, in milliseconds. */
  readonly windowMs: number;
  /** How long after its end a window's report is due, in milliseconds. */
  readonly dueMs: number;
  readonly sum: (window: number) => readonly UsageCount[];
  /** Whether everything that began before a moment of true time is in the sums. */
  readonly isComplete: (fleetMs: number) => boolean;
}

/** What a reporter asks for. */
export type UsageCommand =
  /** Read the documents anew. */
  | { readonly kind: 'read' }
  | { readonly kind: 'change'; readonly change: DutyChange }
  | { readonly kind: 'send'; readonly report: UsageReport };

/** What a reporter is told. */
export type UsageMessage =
  /** The holder may act; `trueMs`: undefined while true time is not known. */
  | { readonly kind: 'tick'; readonly fleetMs: number | undefined }
  | { readonly kind: 'read'; readonly rows: readonly DutyRow[] }
  | { readonly kind: 'changed'; readonly change: DutyChange; readonly write: DutyWriteResult }
  | { readonly kind: 'sent'; readonly window: number; readonly isAccepted: boolean }
  /** This instance is not the holder any more, or not yet again. */
  | { readonly kind: 'lost' };

/** The reporter of one holder. */
export interface UsageReporter {
  handle(message: UsageMessage, nowMs: number): UsageCommand[];
  /** Windows that are fixed and not taken yet. */
  countUnsent(): number;
}

interface CommittedState {
  readonly throughVersion: number;
  /** The newest window that is fixed; undefined before the first. */
  readonly throughWindow: number | undefined;
}

interface UnsentReport {
  readonly report: UsageReport;
  sentMs: number;
  isInFlight: boolean;
}

interface PendingCommit {
  readonly change: DutyChange;
  readonly reports: readonly UsageReport[];
  readonly throughWindow: number;
}

/** Builds a reporter that has read nothing. */
export function createUsageReporter(options: UsageReporterOptions): UsageReporter {
  const { windowMs, dueMs } = options;
  let committed: CommittedState | undefined;
  let isReading = false;
  let pending: PendingCommit | undefined;
  const unsent = new Map<number, UnsentReport>();
  /** Documents of reports that were taken; they go with the next change. */
  let acceptedKeys: string[] = [];

  function removeState(): void {
    committed = undefined;
    isReading = false;
    pending = undefined;
    unsent.clear();
    acceptedKeys = [];
  }

  function isCommittable(window: number, fleetMs: number): boolean {
    const endMs = (window + 1) * windowMs;
    if (fleetMs < endMs + COMMIT_DELAY_MS) return false;
    return fleetMs >= endMs + dueMs * COMMIT_DEADLINE_SHARE || options.isComplete(endMs);
  }

  /** Windows whose counts can be fixed now, in order. */
  function listCommittable({ throughWindow }: CommittedState, fleetMs: number): number[] {
    const current = Math.floor(fleetMs / windowMs);
    const first = Math.max((throughWindow ?? current - 1) + 1, current - BACKFILL_WINDOWS_MAX);
    const windows: number[] = [];
    for (let window = first; window < current && windows.length < COMMIT_BATCH_MAX; window += 1) {
      if (!isCommittable(window, fleetMs)) break;
      windows.push(window);
    }
    return windows;
  }

  function buildChange(reports: readonly UsageReport[], throughWindow: number): DutyChange {
    const writes = reports.flatMap((report) =>
      encodeReport(report).map((text, part) => ({
        key: formatUsageKey(report.window, part),
        text,
      })),
    );
    return {
      expected: [{ key: DUTY_KEY.UsageThrough, version: committed?.throughVersion ?? 0 }],
      writes: [{ key: DUTY_KEY.UsageThrough, text: encodeThroughWindow(throughWindow) }, ...writes],
      removes: acceptedKeys.filter((key) => key.startsWith(USAGE_PREFIX)),
    };
  }

  function setPending(reports: readonly UsageReport[], throughWindow: number): UsageCommand[] {
    const change = buildChange(reports, throughWindow);
    pending = { change, reports, throughWindow };
    return [{ kind: 'change', change }];
  }

  function postCommit(fleetMs: number): UsageCommand[] {
    if (committed === undefined || pending !== undefined) return [];
    const current = Math.floor(fleetMs / windowMs);
    // The first window of all is the one in which the first holder begins.
    if (committed.throughWindow === undefined) {
      return setPending([], current - 1);
    }
    const windows = listCommittable(committed, fleetMs);
    const throughWindow = windows.at(-1);
    if (throughWindow === undefined) return [];
    const reports = windows.map((window) => ({ window, counts: options.sum(window) }));
    return setPending(reports, throughWindow);
  }

  function sendDue(nowMs: number): UsageCommand[] {
    const due = [...unsent.values()].filter(
      ({ isInFlight, sentMs }) => !isInFlight && nowMs - sentMs >= RETRY_DELAY_MS,
    );
    for (const entry of due) {
      entry.isInFlight = true;
      entry.sentMs = nowMs;
    }
    return due.map(({ report }) => ({ kind: 'send', report }));
  }

  function addUnsent(reports: readonly UsageReport[]): void {
    for (const report of reports) {
      const isAccepted = acceptedKeys.includes(formatUsageKey(report.window, 0));
      if (!isAccepted) unsent.set(report.window, { report, sentMs: -Infinity, isInFlight: false });
    }
  }

  function handleTick(fleetMs: number | undefined, nowMs: number): UsageCommand[] {
    if (committed === undefined) {
      if (isReading) return [];
      isReading = true;
      return [{ kind: 'read' }];
    }
    return [...(fleetMs === undefined ? [] : postCommit(fleetMs)), ...sendDue(nowMs)];
  }

  function handleRead(rows: readonly DutyRow[], nowMs: number): UsageCommand[] {
    isReading = false;
    const row = findRow(rows, DUTY_KEY.UsageThrough);
    committed = {
      throughVersion: row?.version ?? 0,
      throughWindow: row === undefined ? undefined : decodeThroughWindow(row.text),
    };
    addUnsent(listReports(rows));
    return sendDue(nowMs);
  }

  /** An answer to a change of an earlier time as holder says nothing of the one under way. */
  function handleChanged(
    { change, write }: Extract<UsageMessage, { kind: 'changed' }>,
    nowMs: number,
  ): UsageCommand[] {
    if (pending?.change !== change) return [];
    const { reports, throughWindow } = pending;
    pending = undefined;
    switch (write.kind) {
      case 'written':
        committed = { throughVersion: write.version, throughWindow };
        acceptedKeys = [];
        addUnsent(reports);
        return sendDue(nowMs);
      case 'conflict':
      case 'lost':
        // What stands in the store is what counts; another holder, or a late write, was first.
        committed = undefined;
        return [];
      default:
        return assertNever(write);
    }
  }

  function recordSent(window: number, isAccepted: boolean): void {
    const entry = unsent.get(window);
    if (entry === undefined) return;
    entry.isInFlight = false;
    if (!isAccepted) return;
    unsent.delete(window);
    acceptedKeys.push(...encodeReport(entry.report).map((_, part) => formatUsageKey(window, part)));
  }

  return {
    handle(message, nowMs) {
      switch (message.kind) {
        case 'tick':
          return handleTick(message.fleetMs, nowMs);
        case 'read':
          return handleRead(message.rows, nowMs);
        case 'changed':
          return handleChanged(message, nowMs);
        case 'sent':
          recordSent(message.window, message.isAccepted);
          return [];
        case 'lost':
          removeState();
          return [];
        default:
          return assertNever(message);
      }
    },
    countUnsent: () => unsent.size,
  };
}
