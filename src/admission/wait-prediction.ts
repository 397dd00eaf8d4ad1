/**
 * What a ticket has to expect. Nothing here is configured: waits come from the rate at which a class's
 * tickets leave, holds from the answers that ended.
 */
import type { Random } from '../utils/random.js';
import type { ClassState } from './shard-state.js';
import type { Ticket } from './ticket.js';

/** Part of a long hold that an answer broken off in the middle still needs. */
const RESUMED_HOLD_SHARE = 0.5;
export const RETRY_AFTER_MIN_MS = 250;
const RETRY_AFTER_MAX_MS = 30_000;
/** Answers to many callers at once are spread by up to this part, or all would come back together. */
const RETRY_AFTER_JITTER = 0.25;

/** Expected wait of a ticket behind `ahead` others of its class, in milliseconds. */
export function predictWait(
  classState: ClassState,
  ticketsAhead: number,
  slots: number,
  nowMs: number,
): number {
  if (ticketsAhead === 0) return 0;
  const rate = classState.departures.compute(nowMs);
  if (rate === undefined) return 0;
  // Never below what the floor alone would give: a bad second must not shut a class out.
  const floorRate =
    (classState.declaration.floor * Math.max(1, slots)) / classState.credit.getMeanHoldMs();
  return ticketsAhead / Math.max(rate, floorRate, Number.EPSILON);
}

/** When a refused caller should come back, in milliseconds: once what waits now has left. */
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

/** Whether nearly every answer of the class that starts at a moment is whole before this deadline. */
export function isDeadlineSafe(ticket: Ticket, classState: ClassState, startsMs: number): boolean {
  const holdMs = classState.credit.getTailHoldMs() * (ticket.isResumed ? RESUMED_HOLD_SHARE : 1);
  return startsMs + holdMs <= ticket.expiresMs;
}

/** Whether even a usual answer of the class that starts at a moment would end too late. */
export function isLikelyLate(ticket: Ticket, classState: ClassState, startsMs: number): boolean {
  const holdMs = classState.credit.getMeanHoldMs() * (ticket.isResumed ? RESUMED_HOLD_SHARE : 1);
  return startsMs + holdMs > ticket.expiresMs;
}

/**
 * Tickets of its class that go before an organisation's next one by fair turns: for each of its own
 * that waits, one of every other organisation; not the whole queue of whoever floods it.
 */
export function countAhead(ticket: Ticket, classState: ClassState): number {
  if (ticket.isResumed) return 0;
  const own = classState.queue.countOf(ticket.organisation);
  const turns = own * Math.max(1, classState.queue.countOrganisations()) + 1;
  return Math.min(classState.queue.count(), turns);
}
