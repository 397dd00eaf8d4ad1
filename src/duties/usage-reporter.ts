/**
 * Reports usage per window. Commits the counts of a window to the store with a conditional write
 * before sending, then sends the committed counts until they are acknowledged. Performs no I/O.
 *
 * Guards against two different reports for one window: if the holder fails between call and
 * response, its successor resends the committed report.
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

/** Minimum delay between the end of a window and its commit, for counts in flight. */
const COMMIT_DELAY_MS = 700;
/** Share of the reporting deadline by which a window is committed even if counts are missing. */
const COMMIT_DEADLINE_SHARE = 0.5;
/** Maximum number of past windows reported after a time without a holder. */
const BACKFILL_WINDOWS_MAX = 12;
const COMMIT_BATCH_MAX = 4;
/** Delay before an unacknowledged report is sent again. */
const RETRY_DELAY_MS = 1500;

export interface UsageReporterOptions {
  readonly windowMs: number;
  /** Reporting deadline after the end of a window. */
  readonly dueMs: number;
  readonly sum: (window: number) => readonly UsageCount[];
  /** Whether the sums include every call started before this fleet time. */
  readonly isComplete: (fleetMs: number) => boolean;
}

/** Requests from the reporter to its caller. */
export type UsageCommand =
  | { readonly kind: 'read' }
  | { readonly kind: 'change'; readonly change: DutyChange }
  | { readonly kind: 'send'; readonly report: UsageReport };

/** Input to the reporter. */
export type UsageMessage =
  /**
   * Sent while this instance holds the lease; `fleetMs` is undefined while fleet time is unknown.
   */
  | { readonly kind: 'tick'; readonly fleetMs: number | undefined }
  | { readonly kind: 'read'; readonly rows: readonly DutyRow[] }
  | { readonly kind: 'changed'; readonly change: DutyChange; readonly write: DutyWriteResult }
  | { readonly kind: 'sent'; readonly window: number; readonly isAccepted: boolean }
  /** This instance does not hold the lease. */
  | { readonly kind: 'lost' };

/** Reports usage while this instance holds the lease. */
export interface UsageReporter {
  handle(message: UsageMessage, nowMs: number): UsageCommand[];
  /** Number of committed windows that are not acknowledged. */
  countUnsent(): number;
}

interface CommittedState {
  readonly throughVersion: number;
  /** The newest committed window; undefined before the first commit. */
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

export function createUsageReporter(options: UsageReporterOptions): UsageReporter {
  const { windowMs, dueMs } = options;
  let committed: CommittedState | undefined;
  let isReading = false;
  let pending: PendingCommit | undefined;
  const unsent = new Map<number, UnsentReport>();
  /** Documents of acknowledged reports, removed with the next change. */
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

  /** Windows that can be committed now, oldest first. */
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
    // Reporting starts with the window in which the first holder starts.
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

  /** Ignores results of changes made in an earlier term as holder. */
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
        // Reads the store again: another holder or a delayed write was first.
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
