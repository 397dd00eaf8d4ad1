/** The lease that allows one instance to send model orders to a shard's engines. */
import type { LeaseTimings } from '../leases/lease-timings.js';

/** Timeout of an order. */
export const ORDER_TIMEOUT_MS = 3000;

export const ORDER_LEASE: LeaseTimings = {
  durationMs: 6000,
  renewMs: 2000,
  expiryMarginMs: 1500,
  // Documents are never removed from the table service.
  absentMs: 0,
  safetyMarginMs: 1000,
  takeoverDelayMs: ORDER_TIMEOUT_MS,
  pollMs: 2000,
  storeTimeoutMs: 4000,
};
