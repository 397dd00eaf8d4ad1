/**
 * Decides whether a prompt goes to its engine now or waits at this instance, free of I/O.
 *
 * The load it answers: more calls than engines have slots for. An engine queues some of what comes
 * beyond its slots and refuses the rest, and a refused call with a single try is lost to its caller for
 * now. Held back here, it only waits, and the most urgent go first.
 */

/** The most urgent calls are let in up to this many times an engine's slots. */
const URGENT_QUEUE_FACTOR = 2;
/** A call that waited this share of the time it has is let in whatever is before it: waiting on would lose it, and no class may starve. */
const WAIT_SHARE_MAX = 0.4;

/** A call that is to be let in or held. */
export interface HoldInput {
  /** The route's; 0 is the most urgent. */
  readonly priority: number;
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
  const { receivedMs, deadlineMs, nowMs } = input;
  const isLastMoment = nowMs - receivedMs >= (deadlineMs - receivedMs) * WAIT_SHARE_MAX;
  return !isLastMoment && isFull(input);
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
