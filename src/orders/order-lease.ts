/** The lease under which one instance orders a shard's engines. */
import type { LeaseBounds } from '../leases/lease-bounds.js';

/** An order is answered or given up within this time, in milliseconds. */
export const ORDER_FLIGHT_MS = 3000;

/** The lease's times. */
export const ORDER_LEASE: LeaseBounds = {
  lengthMs: 6000,
  renewMs: 2000,
  lapseMarginMs: 1500,
  // Nobody removes documents from the table service.
  absentMs: 0,
  safetyMs: 1000,
  settlingMs: ORDER_FLIGHT_MS,
  readMs: 2000,
  callTimeoutMs: 4000,
};
