/** Leases of trials at a source that answers late and gives each once. */
import type { VirtualTime } from '../soak/virtual-time.js';
import type { TakeTrialLease } from '../quarantine/trials.js';

/** Time to the source and back, in milliseconds. */
const RESPONSE_MS = 6;
/** How long a lease is held, in milliseconds. */
const LEASE_MS = 15_000;

/** The leases of a play. */
export interface SimulatedTrialLeases {
  readonly take: TakeTrialLease;
}

/** Builds leases that nobody has. */
export function createSimulatedTrialLeases(time: VirtualTime): SimulatedTrialLeases {
  const takenAtMs = new Map<string, number>();
  return {
    take: (content) =>
      new Promise((resolve) => {
        time.add(undefined, RESPONSE_MS, () => {
          const isFree = time.getNow() - (takenAtMs.get(content) ?? -Infinity) >= LEASE_MS;
          if (isFree) takenAtMs.set(content, time.getNow());
          resolve(isFree);
        });
      }),
  };
}
