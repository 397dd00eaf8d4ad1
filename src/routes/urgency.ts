/**
 * Ranks calls by the priority of the route, then by that of the organisation. Guards against organisation
 * priorities that override the order of routes and let endpoints preempt interactive calls for drafts.
 */
import type { CallingOrganisation, Route, TrafficConfiguration } from '../types/traffic.js';

/** Priority levels that endpoints distinguish. */
const URGENCY_LEVELS = 10;

/** Urgency of calls under one configuration. */
export interface UrgencyRanks {
  /** From 0, the most urgent, to 9. */
  compute(route: Route, organisation: CallingOrganisation | undefined): number;
}

function listDistinct(priorities: readonly number[]): number[] {
  return [...new Set(priorities)].sort((a, b) => a - b);
}

/** The most frequent priority; of equally frequent ones the most urgent. */
function findCommonPriority(priorities: readonly number[]): number | undefined {
  const counts = listDistinct(priorities).map((priority) => ({
    priority,
    count: priorities.filter((other) => other === priority).length,
  }));
  return counts.sort((a, b) => b.count - a.count || a.priority - b.priority)[0]?.priority;
}

/** With more pairs of priorities than levels, neighbouring pairs share a level. */
export function createUrgencyRanks(configuration: TrafficConfiguration): UrgencyRanks {
  const declaredPriorities = configuration.organisations
    .map(({ priority }) => priority)
    .filter((priority) => priority !== undefined);
  const organisationPriorities = listDistinct(declaredPriorities);
  const routePriorities = listDistinct(configuration.routes.map(({ priority }) => priority));
  const pairs = Math.max(1, organisationPriorities.length) * Math.max(1, routePriorities.length);
  // Applies to calls without an organisation, or whose organisation has no priority.
  const commonPriority = findCommonPriority(declaredPriorities);
  return {
    compute(route, organisation) {
      const priority = organisation?.priority ?? commonPriority;
      const organisationRank =
        priority === undefined ? 0 : Math.max(0, organisationPriorities.indexOf(priority));
      const routeRank = Math.max(0, routePriorities.indexOf(route.priority));
      const rank = routeRank * Math.max(1, organisationPriorities.length) + organisationRank;
      return pairs <= URGENCY_LEVELS ? rank : Math.floor((rank * URGENCY_LEVELS) / pairs);
    },
  };
}
