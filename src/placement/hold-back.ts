/**
 * Decides whether a prompt goes to its engine now or waits at this instance, free of I/O.
 *
 * The load it answers: long, less urgent prompts arrive in a burst, more than the engines can read.
 * Engines read what they admitted in order, so each long prompt that was let in delays the urgent
 * short ones behind it by its reading time. Held back here, it lets them pass. The most urgent and
 * the shortest are never held.
 */

/**
 * Parts of the shortest target in the pool that a call of priority 1 may find to be read ahead of it
 * at its engine and yet be let in; less urgent ones get an equal part for each step down. A whole
 * target: the next urgent call would be late behind more. Of 1, 1.5 and 2.2 times a shortest target of
 * 300 ms, 1 served most: 90.1, 89.7 and 89.2% of what was owed, the mean of five heavy days simulated
 * with each.
 */
const READING_TARGETS = 1;
/** The most urgent calls are let in up to this many times an engine's slots. */
const URGENT_QUEUE_FACTOR = 2;
/** A prompt that takes no more than this part of the shortest target to read delays nobody by much, and is never held. */
const SMALL_TARGETS = 0.06;
/** A call that waited this share of the time it has is let in whatever is before it: waiting on would lose it, and no class may starve. */
const WAIT_SHARE_MAX = 0.4;

/** A call that is to be let in or held. */
export interface HoldInput {
  /** The route's; 0 is the most urgent. */
  readonly priority: number;
  /** How long the engine it would go to takes to read the call's own prompt, in milliseconds. */
  readonly readMs: number;
  /** The same for what waits there unread. */
  readonly unreadMs: number;
  /** The shortest target of the routes whose prompts go to the pool, in milliseconds. */
  readonly shortestTargetMs: number;
  /** Calls under way at that engine, and how many it runs at once. */
  readonly running: number;
  readonly slots: number;
  readonly receivedMs: number;
  readonly deadlineMs: number;
  readonly nowMs: number;
}

/**
 * Whether the engine has no place for the call. An engine queues about twice its slots and refuses
 * what comes beyond; the most urgent may use half of that queue, where it puts them first, and
 * everybody else waits here, where nothing is lost.
 */
function isFull({ priority, running, slots }: HoldInput): boolean {
  return priority <= 0 ? running >= slots * URGENT_QUEUE_FACTOR : running >= slots;
}

/** Whether the call waits. */
export function isHeldBack(input: HoldInput): boolean {
  const { priority, readMs, unreadMs, shortestTargetMs } = input;
  const { receivedMs, deadlineMs, nowMs } = input;
  const isLastMoment = nowMs - receivedMs >= (deadlineMs - receivedMs) * WAIT_SHARE_MAX;
  if (isLastMoment) return false;
  if (isFull(input)) return true;
  if (priority <= 0 || readMs <= shortestTargetMs * SMALL_TARGETS) return false;
  return unreadMs >= (shortestTargetMs * READING_TARGETS) / priority;
}

/** What the order of waiting calls depends on. */
export interface WaitingCall {
  /** Rank among all calls, 0 for the most urgent. */
  readonly urgency: number;
  readonly receivedMs: number;
  /** Time to the first answer that is in time, from its arrival, in milliseconds. */
  readonly targetMs: number;
  /** How long reading it and its first event take, in milliseconds. */
  readonly answerMs: number;
}

/** Whether too little of its target is left for the call to be read. */
function isLate({ receivedMs, targetMs, answerMs }: WaitingCall, nowMs: number): boolean {
  return nowMs - receivedMs + answerMs > targetMs;
}

/** The more urgent first; of equals those that can still be in time, the oldest of these first. */
export function compareWaiting(a: WaitingCall, b: WaitingCall, nowMs: number): number {
  if (a.urgency !== b.urgency) return a.urgency - b.urgency;
  const lateness = Number(isLate(a, nowMs)) - Number(isLate(b, nowMs));
  return lateness !== 0 ? lateness : a.receivedMs - b.receivedMs;
}
