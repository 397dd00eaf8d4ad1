/** A source of trial leases that responds with a delay and grants each lease to one holder at a time. */
import type { VirtualTime } from '../soak/virtual-time.js';
import type { TakeTrialLease } from '../quarantine/trials.js';

/** The round trip to the source. */
const RESPONSE_MS = 6;
const LEASE_MS = 15_000;

export interface SimulatedTrialLeases {
  readonly take: TakeTrialLease;
}

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
