/**
 * Detects that the process was suspended: the monotonic clock stood still while the wall clock
 * advanced. A step of the wall clock looks the same and costs one extra confirmation.
 */
import type { Clock } from '../runtime/clock.js';

/** Smaller changes of the clocks' difference do not count as a suspension. */
const DRIFT_TOLERANCE_MS = 200;

export interface SuspensionDetector {
  /** Whether the clocks have diverged since the last call. */
  checkSuspended(): boolean;
}

export function createSuspensionDetector(clock: Clock): SuspensionDetector {
  let offsetMs = clock.wallMs() - clock.monotonicMs();
  return {
    checkSuspended() {
      const nextOffsetMs = clock.wallMs() - clock.monotonicMs();
      const driftMs = Math.abs(nextOffsetMs - offsetMs);
      offsetMs = nextOffsetMs;
      return driftMs > DRIFT_TOLERANCE_MS;
    },
  };
}
