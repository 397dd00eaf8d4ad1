/** The platform's calls that one instance makes for the fleet. */
import type { Grant } from '../leases/lease.js';
import type { UsageCount } from './usage-ledger.js';

/** The counts of one window, fixed for good. */
export interface UsageReport {
  readonly window: number;
  readonly counts: readonly UsageCount[];
}

/** So many endpoints of a pool in a data centre. */
export interface ScaleRequest {
  readonly pool: string;
  readonly dataCentre: string;
  /** Of those that may be taken back at any time, or of the others. */
  readonly isSpot: boolean;
  readonly count: number;
}

/** How a call ended. */
export const DUTY_OUTCOME = {
  Done: 'done',
  /** There is no room for it now. */
  Unavailable: 'unavailable',
  /** It was turned away; it may be tried later. */
  Rejected: 'rejected',
  /** No answer: it may have been done. */
  Lost: 'lost',
  /** The lease did not allow it when the connection was made. */
  NotAllowed: 'not_allowed',
} as const;
export type DutyOutcome = (typeof DUTY_OUTCOME)[keyof typeof DUTY_OUTCOME];

/** Asked once the connection stands, right before the first byte is written: undefined forbids the call. */
export type CallGuard = () => Grant | undefined;

/** The calls; none rejects. */
export interface DutyCalls {
  sendUsage(report: UsageReport, guard: CallGuard): Promise<DutyOutcome>;
  sendOrder(request: ScaleRequest, guard: CallGuard): Promise<DutyOutcome>;
}
