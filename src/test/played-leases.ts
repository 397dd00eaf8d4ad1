/** Leases of trials at a source that answers late and gives each once. */
import type { VirtualTime } from '../soak/virtual-time.js';
import type { TakeTrialLease } from '../quarantine/trials.js';

/** Time to the source and back, in milliseconds. */
const ANSWER_MS = 6;
/** How long a lease is held, in milliseconds. */
const LEASE_MS = 15_000;

/** The leases of a play. */
export interface PlayedLeases {
  readonly take: TakeTrialLease;
}

/** Builds leases that nobody has. */
export function createPlayedLeases(time: VirtualTime): PlayedLeases {
  const takenMs = new Map<string, number>();
  return {
    take: (content) =>
      new Promise((resolve) => {
        time.add(undefined, ANSWER_MS, () => {
          const isFree = time.getNow() - (takenMs.get(content) ?? -Infinity) >= LEASE_MS;
          if (isFree) takenMs.set(content, time.getNow());
          resolve(isFree);
        });
      }),
  };
}
