/** Predicts queueing delays from a class's departure rate, and deadline misses from its hold times. */
import type { Random } from '../utils/random.js';
import type { ClassState } from './shard-state.js';
import type { Ticket } from './ticket.js';

/** Expected remaining hold of a resumed response, as a share of a complete one. */
const RESUMED_HOLD_SHARE = 0.5;
export const RETRY_AFTER_MIN_MS = 250;
const RETRY_AFTER_MAX_MS = 30_000;
/** Keeps callers that are refused together from retrying together. */
const RETRY_AFTER_JITTER = 0.25;

/** Expected queueing delay behind `ticketsAhead` tickets of the class, in milliseconds. */
export function predictWait(
  classState: ClassState,
  ticketsAhead: number,
  slots: number,
  nowMs: number,
): number {
  if (ticketsAhead === 0) return 0;
  const rate = classState.departures.compute(nowMs);
  if (rate === undefined) return 0;
  // The floor bounds the rate from below, so that a short stall does not block a class.
  const floorRate =
    (classState.declaration.floor * Math.max(1, slots)) / classState.credit.getMeanHoldMs();
  return ticketsAhead / Math.max(rate, floorRate, Number.EPSILON);
}

/** Time for the current queue to drain, within bounds and with jitter. */
export function computeRetryAfter(
  classState: ClassState,
  slots: number,
  random: Random,
  nowMs: number,
): number {
  const wait = predictWait(classState, classState.queue.count(), slots, nowMs);
  const jittered =
    Math.max(RETRY_AFTER_MIN_MS, wait) *
    (1 - RETRY_AFTER_JITTER + random.next() * 2 * RETRY_AFTER_JITTER);
  return Math.round(Math.min(RETRY_AFTER_MAX_MS, jittered));
}

/** Whether a response that starts at `startsMs` meets the deadline even with a tail hold time. */
export function isDeadlineSafe(ticket: Ticket, classState: ClassState, startsMs: number): boolean {
  const holdMs = classState.credit.getTailHoldMs() * (ticket.isResumed ? RESUMED_HOLD_SHARE : 1);
  return startsMs + holdMs <= ticket.expiresMs;
}

/** Whether a response that starts at `startsMs` misses the deadline with a mean hold time. */
export function isLikelyLate(ticket: Ticket, classState: ClassState, startsMs: number): boolean {
  const holdMs = classState.credit.getMeanHoldMs() * (ticket.isResumed ? RESUMED_HOLD_SHARE : 1);
  return startsMs + holdMs > ticket.expiresMs;
}

/**
 * Tickets of the class that fair queueing serves first: one of each organisation for every ticket of
 * the same organisation, and not the whole backlog of the busiest one.
 */
export function countAhead(ticket: Ticket, classState: ClassState): number {
  if (ticket.isResumed) return 0;
  const own = classState.queue.countOf(ticket.organisation);
  const turns = own * Math.max(1, classState.queue.countOrganisations()) + 1;
  return Math.min(classState.queue.count(), turns);
}
