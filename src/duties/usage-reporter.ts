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
import type { DutyChange, DutyRow, DutyWrite } from './duty-store.js';
import {
  decodeThrough,
  encodeThrough,
  formatUsageKey,
  listReports,
  encodeReport,
} from './usage-rows.js';
import type { UsageCount } from './usage-ledger.js';

/** A window's counts are fixed no sooner than this after its end, in milliseconds: calls that began in it are still on their way. */
const CLOSE_MIN_MS = 700;
/** And no later than this part of the time in which it is due: what is left is for sending. */
const CLOSE_MAX_SHARE = 0.5;
/** Windows that are made up for after a time without any holder. */
const BEHIND_MAX = 12;
/** Windows that are fixed at one time. */
const FIXED_AT_ONCE = 4;
/** A report that was not taken is sent again after this long, in milliseconds. */
const RESEND_MS = 1500;

/** What a reporter is built on. */
export interface UsageReporterOptions {
  /** How long a window is, in milliseconds. */
  readonly windowMs: number;
  /** How long after its end a window's report is due, in milliseconds. */
  readonly dueMs: number;
  readonly sum: (window: number) => readonly UsageCount[];
  /** Whether everything that began before a moment of true time is in the sums. */
  readonly isReached: (trueMs: number) => boolean;
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
  | { readonly kind: 'tick'; readonly trueMs: number | undefined }
  | { readonly kind: 'read'; readonly rows: readonly DutyRow[] }
  | { readonly kind: 'changed'; readonly change: DutyChange; readonly write: DutyWrite }
  | { readonly kind: 'sent'; readonly window: number; readonly isTaken: boolean }
  /** This instance is not the holder any more, or not yet again. */
  | { readonly kind: 'lost' };

/** The reporter of one holder. */
export interface UsageReporter {
  handle(message: UsageMessage, nowMs: number): UsageCommand[];
  /** Windows that are fixed and not taken yet. */
  countUnsent(): number;
}

interface Known {
  readonly throughVersion: number;
  /** The newest window that is fixed; undefined before the first. */
  readonly through: number | undefined;
}

interface Unsent {
  readonly report: UsageReport;
  sentMs: number;
  isUnderWay: boolean;
}

interface Pending {
  readonly change: DutyChange;
  readonly reports: readonly UsageReport[];
  readonly through: number;
}

/** Builds a reporter that has read nothing. */
export function createUsageReporter(options: UsageReporterOptions): UsageReporter {
  const { windowMs, dueMs } = options;
  let known: Known | undefined;
  let isReading = false;
  let pending: Pending | undefined;
  const unsent = new Map<number, Unsent>();
  /** Documents of reports that were taken; they go with the next change. */
  let taken: string[] = [];

  function removeAll(): void {
    known = undefined;
    isReading = false;
    pending = undefined;
    unsent.clear();
    taken = [];
  }

  function isClosed(window: number, trueMs: number): boolean {
    const endMs = (window + 1) * windowMs;
    if (trueMs < endMs + CLOSE_MIN_MS) return false;
    return trueMs >= endMs + dueMs * CLOSE_MAX_SHARE || options.isReached(endMs);
  }

  /** Windows whose counts can be fixed now, in order. */
  function listClosed({ through }: Known, trueMs: number): number[] {
    const current = Math.floor(trueMs / windowMs);
    const first = Math.max((through ?? current - 1) + 1, current - BEHIND_MAX);
    const windows: number[] = [];
    for (let window = first; window < current && windows.length < FIXED_AT_ONCE; window += 1) {
      if (!isClosed(window, trueMs)) break;
      windows.push(window);
    }
    return windows;
  }

  function buildChange(reports: readonly UsageReport[], through: number): DutyChange {
    const writes = reports.flatMap((report) =>
      encodeReport(report).map((text, part) => ({
        key: formatUsageKey(report.window, part),
        text,
      })),
    );
    return {
      expected: [{ key: DUTY_KEY.UsageThrough, version: known?.throughVersion ?? 0 }],
      writes: [{ key: DUTY_KEY.UsageThrough, text: encodeThrough(through) }, ...writes],
      removes: taken.filter((key) => key.startsWith(USAGE_PREFIX)),
    };
  }

  function setPending(reports: readonly UsageReport[], through: number): UsageCommand[] {
    const change = buildChange(reports, through);
    pending = { change, reports, through };
    return [{ kind: 'change', change }];
  }

  function postChange(trueMs: number): UsageCommand[] {
    if (known === undefined || pending !== undefined) return [];
    const current = Math.floor(trueMs / windowMs);
    // The first window of all is the one in which the first holder begins.
    if (known.through === undefined) {
      return setPending([], current - 1);
    }
    const windows = listClosed(known, trueMs);
    const through = windows.at(-1);
    if (through === undefined) return [];
    const reports = windows.map((window) => ({ window, counts: options.sum(window) }));
    return setPending(reports, through);
  }

  function sendDue(nowMs: number): UsageCommand[] {
    const due = [...unsent.values()].filter(
      ({ isUnderWay, sentMs }) => !isUnderWay && nowMs - sentMs >= RESEND_MS,
    );
    for (const entry of due) {
      entry.isUnderWay = true;
      entry.sentMs = nowMs;
    }
    return due.map(({ report }) => ({ kind: 'send', report }));
  }

  function addUnsent(reports: readonly UsageReport[]): void {
    for (const report of reports) {
      const isTaken = taken.includes(formatUsageKey(report.window, 0));
      if (!isTaken) unsent.set(report.window, { report, sentMs: -Infinity, isUnderWay: false });
    }
  }

  function handleTick(trueMs: number | undefined, nowMs: number): UsageCommand[] {
    if (known === undefined) {
      if (isReading) return [];
      isReading = true;
      return [{ kind: 'read' }];
    }
    return [...(trueMs === undefined ? [] : postChange(trueMs)), ...sendDue(nowMs)];
  }

  function handleRead(rows: readonly DutyRow[], nowMs: number): UsageCommand[] {
    isReading = false;
    const row = findRow(rows, DUTY_KEY.UsageThrough);
    known = {
      throughVersion: row?.version ?? 0,
      through: row === undefined ? undefined : decodeThrough(row.text),
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
    const { reports, through } = pending;
    pending = undefined;
    switch (write.kind) {
      case 'written':
        known = { throughVersion: write.version, through };
        taken = [];
        addUnsent(reports);
        return sendDue(nowMs);
      case 'conflict':
      case 'lost':
        // What stands in the store is what counts; another holder, or a late write, was first.
        known = undefined;
        return [];
      default:
        return assertNever(write);
    }
  }

  function recordSent(window: number, isTaken: boolean): void {
    const entry = unsent.get(window);
    if (entry === undefined) return;
    entry.isUnderWay = false;
    if (!isTaken) return;
    unsent.delete(window);
    taken.push(...encodeReport(entry.report).map((_, part) => formatUsageKey(window, part)));
  }

  return {
    handle(message, nowMs) {
      switch (message.kind) {
        case 'tick':
          return handleTick(message.trueMs, nowMs);
        case 'read':
          return handleRead(message.rows, nowMs);
        case 'changed':
          return handleChanged(message, nowMs);
        case 'sent':
          recordSent(message.window, message.isTaken);
          return [];
        case 'lost':
          removeAll();
          return [];
        default:
          return assertNever(message);
      }
    },
    countUnsent: () => unsent.size,
  };
}
