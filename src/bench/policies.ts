/** The policies that the bench compares: the product's own, its alternatives and simple baselines. */
import type { AdmissionPolicy } from '../admission/policy.js';

export const POLICIES = {
  /** Soft owners, floors, preemption. */
  hyssoptally: { kind: 'owners' },
  /** Soft owners, strictly by tier. */
  'no-floors': { kind: 'owners', hasFloors: false },
  /** Soft owners that never take a slot back. */
  'no-preemption': { kind: 'owners', hasPreemption: false },
  /** Entries that queue alone for an even share of the slots. */
  shares: { kind: 'shares' },
  'round-robin-fifo': { kind: 'independent', choice: 'round_robin', hasPriority: false },
  'least-in-flight-fifo': { kind: 'independent', choice: 'least_in_flight', hasPriority: false },
  /** The endpoint's own queue by priority, no floors. */
  'strict-priority': { kind: 'independent', choice: 'least_in_flight', hasPriority: true },
} as const satisfies Readonly<Record<string, AdmissionPolicy>>;

export type PolicyName = keyof typeof POLICIES;

/** Policies that are compared by default. */
export const COMPARED: readonly PolicyName[] = [
  'hyssoptally',
  'round-robin-fifo',
  'least-in-flight-fifo',
  'strict-priority',
];
