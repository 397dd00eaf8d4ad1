/** Callbacks for logs and metrics of the duties. */
import type { DutyOutcome, ScaleRequest, UsageReport } from './duty-calls.js';

export interface DutyHolder {
  readonly holder: string;
  readonly fence: number;
  readonly isOwn: boolean;
}

export interface DutyObserver {
  /** This instance has observed a new holder. */
  onHolderChanged(holder: DutyHolder): void;
  onUsageReported(report: UsageReport, outcome: DutyOutcome): void;
  onScaleRequested(request: ScaleRequest, outcome: DutyOutcome): void;
  /** An unexpected error occurred. */
  onError(reason: string): void;
}
