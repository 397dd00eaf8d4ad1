/**
 * When to report something to other instances beside the loads: at once and several times after a
 * change, since datagrams are lost, and now and then without one.
 */

/** Number of times that a change is reported in a row. */
const REPORT_COPIES = 4;
/** Interval between reports without a change. */
const REPORT_PERIOD_MS = 1000;

export interface ReportSchedule {
  recordChange(): void;
  /** Whether a report is due; if so, it counts as sent. */
  takeDue(nowMs: number): boolean;
}

export function createReportSchedule(): ReportSchedule {
  let copiesLeft = 0;
  let reportedMs = -Infinity;
  return {
    recordChange() {
      copiesLeft = REPORT_COPIES;
    },
    takeDue(nowMs) {
      if (copiesLeft === 0 && nowMs - reportedMs < REPORT_PERIOD_MS) return false;
      copiesLeft = Math.max(0, copiesLeft - 1);
      reportedMs = nowMs;
      return true;
    },
  };
}
