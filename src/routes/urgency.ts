/**
 * Ranks calls by urgency. An organisation's priority goes before the route's: of two organisations the
 * more urgent one's calls come first whatever their routes, and within one the routes' order decides.
 *
 * Guards against an organisation's priority that wipes out the difference between routes. Where most
 * organisations have the same one, it shows as drafts that are admitted before interactive calls, and
 * as engines that preempt the interactive ones because they are the newest of what looks equal.
 */
import type { CallingOrganisation, Route, TrafficConfiguration } from '../types/traffic.js';

/** Ranks that an engine tells apart. */
const RANKS = 10;

/** Ranks of one configuration. */
export interface UrgencyRanks {
  /** 0, the most urgent, to 9. */
  compute(route: Route, organisation: CallingOrganisation | undefined): number;
}

function listDistinct(priorities: readonly number[]): number[] {
  return [...new Set(priorities)].sort((a, b) => a - b);
}

/** The priority that most organisations have; of several the most urgent. */
function findCommonPriority(priorities: readonly number[]): number | undefined {
  const counts = listDistinct(priorities).map((priority) => ({
    priority,
    count: priorities.filter((other) => other === priority).length,
  }));
  return counts.sort((a, b) => b.count - a.count || a.priority - b.priority)[0]?.priority;
}

/** Indexes a configuration's priorities. Pairs beyond the ranks share one with their neighbours. */
export function createUrgencyRanks(configuration: TrafficConfiguration): UrgencyRanks {
  const declared = configuration.organisations
    .map(({ priority }) => priority)
    .filter((priority) => priority !== undefined);
  const ofOrganisations = listDistinct(declared);
  const ofRoutes = listDistinct(configuration.routes.map(({ priority }) => priority));
  const pairs = Math.max(1, ofOrganisations.length) * Math.max(1, ofRoutes.length);
  // A call without an organisation, or whose organisation states nothing, ranks like most others.
  const common = findCommonPriority(declared);
  return {
    compute(route, organisation) {
      const priority = organisation?.priority ?? common;
      const organisationRank =
        priority === undefined ? 0 : Math.max(0, ofOrganisations.indexOf(priority));
      const routeRank = Math.max(0, ofRoutes.indexOf(route.priority));
      const rank = organisationRank * ofRoutes.length + routeRank;
      return pairs <= RANKS ? rank : Math.floor((rank * RANKS) / pairs);
    },
  };
}
