/** The lease that allows one instance to send model orders to a shard's engines. */
import type { LeaseBounds } from '../leases/lease-bounds.js';

/** Timeout of an order. */
export const ORDER_FLIGHT_MS = 3000;

export const ORDER_LEASE: LeaseBounds = {
  lengthMs: 6000,
  renewMs: 2000,
  lapseMarginMs: 1500,
  // Documents are never removed from the table service.
  absentMs: 0,
  safetyMs: 1000,
  settlingMs: ORDER_FLIGHT_MS,
  readMs: 2000,
  callTimeoutMs: 4000,
};
