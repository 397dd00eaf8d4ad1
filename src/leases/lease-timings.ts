/** Durations shared by all participants in a lease. */
export interface LeaseTimings {
  /**
   * How long a write by the holder grants the lease, measured on its own clocks from before
   * sending.
   */
  readonly durationMs: number;
  /** Interval between renewals by the holder. */
  readonly renewMs: number;
  /**
   * Added to the lease duration before others take over, to allow for clocks that run at different
   * rates.
   */
  readonly expiryMarginMs: number;
  /**
   * How long a missing document must stay missing before a takeover: its holder may still be
   * active.
   */
  readonly absentMs: number;
  /** The holder stops acting this long before its lease ends. */
  readonly safetyMarginMs: number;
  /**
   * How long a new holder waits for calls that its predecessor sent; 0 if every call ends within
   * the caller's grant.
   */
  readonly takeoverDelayMs: number;
  /** Interval at which other participants read the lease. */
  readonly pollMs: number;
  /** A store call without a response after this time counts as lost. */
  readonly storeTimeoutMs: number;
}

/** Two lost renewals are tolerated. */
const RENEWALS_PER_LEASE = 3;
/** Shares of the lease duration. */
const EXPIRY_MARGIN_SHARE = 0.17;
const SAFETY_MARGIN_SHARE = 0.1;

/**
 * Computes the durations of a lease whose holder ends every call within its grant. `isFirstStart`:
 * no earlier holder can exist.
 * @default isFirstStart false
 */
export function computeLeaseTimings(durationMs: number, isFirstStart = false): LeaseTimings {
  const renewMs = durationMs / RENEWALS_PER_LEASE;
  const expiryMarginMs = durationMs * EXPIRY_MARGIN_SHARE;
  return {
    durationMs,
    renewMs,
    expiryMarginMs,
    absentMs: isFirstStart ? 0 : durationMs + expiryMarginMs,
    safetyMarginMs: durationMs * SAFETY_MARGIN_SHARE,
    takeoverDelayMs: 0,
    pollMs: renewMs,
    storeTimeoutMs: renewMs,
  };
}
