/**
 * Chooses the instances that sum up loads for others, free of I/O.
 *
 * The load it answers: an engine turns its calls over in a fraction of a second. Where each instance
 * tells a few others, drawn anew each time, what one of hundreds believes of an engine is seconds old. A head hears each of its
 * group ten times a second and the sums of all other heads as often, so that everybody knows of
 * everybody within two or three periods, whatever the size of the fleet.
 */
import { chooseRendezvous, hashName, hashPair } from '../utils/hash.js';

/** Up to this many instances everybody tells everybody: a head for each. */
export const FULL_MESH_MAX = 12;
/** Instances of one group at most: a head of 195 sends 16 tables to its group and 14 to other heads a period. */
const GROUP_MAX = 16;
/** Heads of a data centre at least: with one alone its death would look like the data centre's. */
const AGGREGATORS_MIN = 2;

/** An instance that is alive. */
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

/** The heads of a fleet, the same on every instance that knows the same members. */
export function chooseAggregators(fleet: readonly LoadMember[]): string[] {
  if (fleet.length <= FULL_MESH_MAX) return listNames(fleet);
  const dataCentres = new Set(fleet.map(({ dataCentre }) => dataCentre));
  return [...dataCentres].flatMap((dataCentre) => {
    const members = fleet.filter((member) => member.dataCentre === dataCentre);
    return chooseRendezvous('loads', listNames(members), countAggregators(members.length));
  });
}

/** The heads that an instance may report to, the one it prefers first: each draws its share of the others. */
export function listAggregatorsFor(self: string, aggregators: readonly string[]): string[] {
  const own = hashName(self);
  const rank = (aggregator: string): number => hashPair(hashName(aggregator), own);
  return [...aggregators].sort((a, b) => rank(b) - rank(a));
}
