/**
 * The waiting tickets of one class. Organisations are scheduled by virtual token counters (fair
 * queueing): each counter grows by tokens produced, divided by weight, and the lowest is served first.
 * An organisation that was idle starts at the lowest active counter, so idling earns no credit. Tickets
 * of interrupted responses go first, since the tokens already produced are lost if they end late.
 */
import { createBoundedMap } from '../utils/bounded-map.js';
import type { Ticket } from './ticket.js';

const TOKEN_COUNTERS_MAX = 4096;

/** The queue of one class in one shard. */
export interface ClassQueue {
  add(ticket: Ticket): void;
  remove(ticketId: string): Ticket | undefined;
  /**
   * The next ticket, without removing it: the oldest one that satisfies `isDeadlineSafe`, of the
   * organisation with the lowest counter. If none does, the one with the latest deadline.
   */
  findNext(isDeadlineSafe: (ticket: Ticket) => boolean): Ticket | undefined;
  /** The newest ticket of the organisation with most tickets, to be shed when the queue is full. */
  findShedCandidate(): Ticket | undefined;
  /** Adds tokens, divided by weight, to an organisation's counter; negative for a correction. */
  addTokens(organisation: string, tokens: number): void;
  count(): number;
  countOf(organisation: string): number;
  /** Organisations with waiting tickets. */
  countOrganisations(): number;
  list(): Ticket[];
}

export function createClassQueue(): ClassQueue {
  const queues = new Map<string, Ticket[]>();
  /** Oldest first. */
  const resumedTickets = new Map<string, Ticket>();
  const organisationOf = new Map<string, string>();
  const counters = createBoundedMap<string, number>(TOKEN_COUNTERS_MAX);

  function computeLowestWaitingCounter(): number {
    let lowest = Infinity;
    for (const organisation of queues.keys()) {
      lowest = Math.min(lowest, counters.get(organisation) ?? 0);
    }
    return lowest === Infinity ? 0 : lowest;
  }

  function findLatestExpiry(): Ticket | undefined {
    let best: Ticket | undefined;
    for (const ticket of [...queues.values()].flat()) {
      if (best === undefined || ticket.expiresMs > best.expiresMs) best = ticket;
    }
    return best;
  }

  return {
    add(ticket) {
      let queue = queues.get(ticket.organisation);
      if (queue === undefined) {
        const lowest = computeLowestWaitingCounter();
        counters.set(ticket.organisation, Math.max(counters.get(ticket.organisation) ?? 0, lowest));
        queue = [];
        queues.set(ticket.organisation, queue);
      }
      queue.push(ticket);
      if (ticket.isResumed) resumedTickets.set(ticket.ticketId, ticket);
      organisationOf.set(ticket.ticketId, ticket.organisation);
    },
    remove(ticketId) {
      const organisation = organisationOf.get(ticketId);
      const queue = organisation === undefined ? undefined : queues.get(organisation);
      if (organisation === undefined || queue === undefined) return undefined;
      organisationOf.delete(ticketId);
      resumedTickets.delete(ticketId);
      const index = queue.findIndex((ticket) => ticket.ticketId === ticketId);
      const [ticket] = queue.splice(index, 1);
      if (queue.length === 0) queues.delete(organisation);
      return ticket;
    },
    findNext(isDeadlineSafe) {
      const [resumed] = resumedTickets.values();
      if (resumed !== undefined) return resumed;
      const byCounter = [...queues.keys()].sort(
        (a, b) => (counters.get(a) ?? 0) - (counters.get(b) ?? 0),
      );
      for (const organisation of byCounter) {
        const found = queues.get(organisation)?.find(isDeadlineSafe);
        if (found !== undefined) return found;
      }
      return findLatestExpiry();
    },
    findShedCandidate() {
      let longest: Ticket[] = [];
      for (const queue of queues.values()) {
        if (queue.length > longest.length) longest = queue;
      }
      return longest.at(-1);
    },
    addTokens(organisation, tokens) {
      counters.set(organisation, (counters.get(organisation) ?? 0) + tokens);
    },
    count: () => organisationOf.size,
    countOf: (organisation) => queues.get(organisation)?.length ?? 0,
    countOrganisations: () => queues.size,
    list: () => [...queues.values()].flat(),
  };
}
