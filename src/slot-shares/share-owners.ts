/**
 * Divides the slots of a brittle endpoint among the live instances, so that all of them together
 * never send more than it has room for. Needs no agreement: rendezvous hashing gives all instances
 * that know the same fleet the same shares. Performs no I/O.
 */
import { chooseRendezvous } from '../utils/hash.js';

/** The rest is left to calls whose end reaches their instance sooner than it frees the slot. */
const SLOTS_USED_SHARE = 0.9;

export interface SlotOwners {
  /** Slots that every instance owns. */
  readonly slotsOfAll: number;
  /** Names of the instances that own one more. */
  readonly owners: ReadonlySet<string>;
}

/** `start` identifies the start of the endpoint. */
export function computeSlotOwners(
  start: string,
  slots: number,
  instances: readonly string[],
): SlotOwners {
  const room = Math.max(1, Math.round(slots * SLOTS_USED_SHARE));
  const count = Math.max(1, instances.length);
  const owners = chooseRendezvous(start, instances, room % count);
  return { slotsOfAll: Math.floor(room / count), owners: new Set(owners) };
}

/** Slots of the endpoint that an instance may use at once. */
export function computeShare({ slotsOfAll, owners }: SlotOwners, instance: string): number {
  return slotsOfAll + (owners.has(instance) ? 1 : 0);
}
