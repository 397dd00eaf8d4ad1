/** What a failed call to a platform service means for the state behind it. */
export const PLATFORM_FAILURE = {
  /** A condition of the write was not met; nothing was written. */
  Conflict: 'conflict',
  /** The call had no effect. */
  Rejected: 'rejected',
  /** No response: a write may have taken effect or may still do so. */
  Ambiguous: 'ambiguous',
} as const;
export type PlatformFailure = (typeof PLATFORM_FAILURE)[keyof typeof PLATFORM_FAILURE];

export interface PlatformError {
  readonly kind: PlatformFailure;
  /** States what failed and what to do about it. */
  readonly message: string;
}

export function createPlatformError(kind: PlatformFailure, message: string): PlatformError {
  return { kind, message };
}
