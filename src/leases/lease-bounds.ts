/** The times of a lease. */

/** Times that all instances with a part in one lease share, in milliseconds. */
export interface LeaseBounds {
  /** The holder's write counts this long, by its own clocks, from before it was sent. */
  readonly lengthMs: number;
  /** The holder writes anew this often. */
  readonly renewMs: number;
  /** Others wait this much longer than the length before they take over: their clocks may run faster. */
  readonly lapseMarginMs: number;
  /** Who finds no document waits this long: it may have been removed a moment ago, under its holder. */
  readonly absentMs: number;
  /** The holder stops this long before the end of the length. */
  readonly safetyMs: number;
  /** A new holder waits this long for what the last one sent; 0 where each call ends within the holder's grant. */
  readonly settlingMs: number;
  /** Who does not hold the lease reads it this often. */
  readonly readMs: number;
  /** A call of the store without an answer after this long counts as lost. */
  readonly callTimeoutMs: number;
}

/** Renewals within one length: two may be lost. */
const RENEWALS_PER_LEASE = 3;
/** Parts of the length. */
const EXPIRY_MARGIN_SHARE = 0.17;
const SAFETY_MARGIN_SHARE = 0.1;

/**
 * The times of a lease of this length, whose calls each end within the holder's grant. `isNew`: nobody can
 * have held it before.
 * @default isNew false
 */
export function resolveLeaseBounds(durationMs: number, isFirstStart = false): LeaseBounds {
  const renewIntervalMs = durationMs / RENEWALS_PER_LEASE;
  const expiryMarginMs = durationMs * EXPIRY_MARGIN_SHARE;
  return {
    lengthMs: durationMs,
    renewMs: renewIntervalMs,
    lapseMarginMs: expiryMarginMs,
    absentMs: isFirstStart ? 0 : durationMs + expiryMarginMs,
    safetyMs: durationMs * SAFETY_MARGIN_SHARE,
    settlingMs: 0,
    readMs: renewIntervalMs,
    callTimeoutMs: renewIntervalMs,
  };
}
