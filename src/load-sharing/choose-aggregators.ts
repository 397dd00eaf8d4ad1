/**
 * Chooses the instances that aggregate loads for others. Performs no I/O.
 *
 * Guards against outdated loads: engines finish calls within a fraction of a second, and gossip
 * takes seconds to cover a fleet of hundreds. With aggregators all instances learn of a change
 * within two or three periods.
 */
import { chooseRendezvous, hashName, hashPair } from '../utils/hash.js';

/** Largest fleet in which every instance is an aggregator. */
export const FULL_MESH_MAX = 12;
/** Instances per aggregator; in a fleet of 195, one sends to 16 reporters and 14 other aggregators. */
const GROUP_MAX = 16;
/**
 * Minimum number of aggregators per data centre: the failure of a single one would look like that
 * of the data centre.
 */
const AGGREGATORS_MIN = 2;

/** A live instance. */
export interface LoadMember {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
}

function countAggregators(members: number): number {
  return Math.min(members, Math.max(AGGREGATORS_MIN, Math.ceil(members / GROUP_MAX)));
}

function listNames(members: readonly LoadMember[]): string[] {
  return members.map(({ name }) => name);
}

/** Returns the same aggregators on every instance that knows the same members. */
export function chooseAggregators(fleet: readonly LoadMember[]): string[] {
  if (fleet.length <= FULL_MESH_MAX) return listNames(fleet);
  const dataCentres = new Set(fleet.map(({ dataCentre }) => dataCentre));
  return [...dataCentres].flatMap((dataCentre) => {
    const members = fleet.filter((member) => member.dataCentre === dataCentre);
    return chooseRendezvous('loads', listNames(members), countAggregators(members.length));
  });
}

/**
 * Lists the aggregators that an instance may report to by preference, which spreads instances
 * evenly.
 */
export function listAggregatorsFor(self: string, aggregators: readonly string[]): string[] {
  const own = hashName(self);
  const rank = (aggregator: string): number => hashPair(hashName(aggregator), own);
  return [...aggregators].sort((a, b) => rank(b) - rank(a));
}
