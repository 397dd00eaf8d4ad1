/** Calls to the platform that one instance makes on behalf of the fleet. */
import type { Grant } from '../leases/lease.js';
import type { UsageCount } from './usage-ledger.js';

/** Final counts of one window. */
export interface UsageReport {
  readonly window: number;
  readonly counts: readonly UsageCount[];
}

/** Desired number of endpoints of a pool in a data centre. */
export interface ScaleRequest {
  readonly pool: string;
  readonly dataCentre: string;
  /** Whether the endpoints are spot capacity, which the platform may reclaim at any time. */
  readonly isSpot: boolean;
  readonly count: number;
}

/** Outcome of a call. */
export const DUTY_OUTCOME = {
  Done: 'done',
  /** The platform has no capacity at the moment. */
  Unavailable: 'unavailable',
  /** The call was refused and may be retried. */
  Rejected: 'rejected',
  /** No response: the call may have been carried out. */
  Lost: 'lost',
  /** The instance no longer held the lease before the call was complete; it has no effect. */
  NotAllowed: 'not_allowed',
} as const;
export type DutyOutcome = (typeof DUTY_OUTCOME)[keyof typeof DUTY_OUTCOME];

/**
 * Called twice on an established connection: before the first byte is written and right before the
 * last one, without which the call has no effect. Undefined or another fencing token cancels the call.
 */
export type CallGuard = () => Grant | undefined;

/** Neither promise rejects. */
export interface DutyCalls {
  sendUsage(report: UsageReport, guard: CallGuard): Promise<DutyOutcome>;
  sendScaleRequest(request: ScaleRequest, guard: CallGuard): Promise<DutyOutcome>;
}
