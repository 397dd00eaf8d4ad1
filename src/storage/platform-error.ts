/** Failures of the platform's services, by what the caller may conclude. */

/** What is known after a failed call. */
export const PLATFORM_FAILURE = {
  /** A condition did not hold; nothing was written. */
  Conflict: 'conflict',
  /** Turned away before any effect. */
  Rejected: 'rejected',
  /** No answer: the write may or may not have taken effect, or may still. */
  Ambiguous: 'ambiguous',
} as const;
export type PlatformFailure = (typeof PLATFORM_FAILURE)[keyof typeof PLATFORM_FAILURE];

/** A failed call to the platform. */
export interface PlatformError {
  readonly kind: PlatformFailure;
  /** Says what failed and what to do. */
  readonly message: string;
}

/** Builds a failure. */
export function createPlatformError(kind: PlatformFailure, message: string): PlatformError {
  return { kind, message };
}
