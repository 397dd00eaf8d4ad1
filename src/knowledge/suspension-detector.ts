/**
 * Notices that the process was suspended: the monotonic clock stood still while the time of day
 * went on. A step of the time of day looks the same and is treated the same, which only costs one
 * more confirmation.
 */
import type { Clock } from '../runtime/clock.js';

/** The clocks may drift apart by this much, in milliseconds, before it counts as a suspension. */
const DRIFT_TOLERANCE_MS = 200;

/** Watches the two clocks. */
export interface SuspensionDetector {
  /** Whether the clocks have parted since the last call. */
  checkSuspended(): boolean;
}

/** Builds a detector that starts from the clocks' present difference. */
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
