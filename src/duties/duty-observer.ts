/** What is told of the duties, for logs and metrics. */
import type { DutyOutcome, ScaleRequest, UsageReport } from './duty-calls.js';

/** Who holds the duties. */
export interface DutyHolder {
  readonly holder: string;
  readonly fence: number;
  readonly isOwn: boolean;
}

/** What happened. */
export interface DutyObserver {
  /** The holder changed, as this instance sees it. */
  onHolder(holder: DutyHolder): void;
  onReported(report: UsageReport, outcome: DutyOutcome): void;
  onOrdered(request: ScaleRequest, outcome: DutyOutcome): void;
  /** Something failed that nobody expected. */
  onFailed(reason: string): void;
}
