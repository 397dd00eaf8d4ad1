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
const RENEWALS = 3;
/** Parts of the length. */
const LAPSE_MARGIN_SHARE = 0.17;
const SAFETY_SHARE = 0.1;

/**
 * The times of a lease of this length, whose calls each end within the holder's grant. `isNew`: nobody can
 * have held it before.
 * @default isNew false
 */
export function resolveLeaseBounds(lengthMs: number, isNew = false): LeaseBounds {
  const renewMs = lengthMs / RENEWALS;
  const lapseMarginMs = lengthMs * LAPSE_MARGIN_SHARE;
  return {
    lengthMs,
    renewMs,
    lapseMarginMs,
    absentMs: isNew ? 0 : lengthMs + lapseMarginMs,
    safetyMs: lengthMs * SAFETY_SHARE,
    settlingMs: 0,
    readMs: renewMs,
    callTimeoutMs: renewMs,
  };
}
