/** The lease under which one instance orders a shard's engines. */
import type { LeaseTimings } from '../leases/lease-bounds.js';

/** An order is answered or given up within this time, in milliseconds. */
export const ORDER_FLIGHT_MS = 3000;

/** The lease's times. */
export const ORDER_LEASE: LeaseTimings = {
  durationMs: 6000,
  renewMs: 2000,
  expiryMarginMs: 1500,
  // Nobody removes documents from the table service.
  absentMs: 0,
  safetyMarginMs: 1000,
  takeoverDelayMs: ORDER_FLIGHT_MS,
  pollMs: 2000,
  storeTimeoutMs: 4000,
};
