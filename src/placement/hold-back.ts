/**
 * Decides whether a prompt goes to its engine now, waits at this instance or is turned away, free of I/O.
 *
 * The load it answers: more calls than engines can serve, for seconds. What is sent beyond an engine's
 * means harms every call there: its queue fills and turns urgent calls away, and each call under way
 * lengthens the steps of all streams, so that urgent ones begin in time and outlast their callers.
 * Held back here, a less urgent call only waits, and the most urgent go first.
 */

/** The most urgent calls are let in up to this many times an engine's slots. */
const URGENT_QUEUE_FACTOR = 2;
/**
 * Part of the pause that more urgent routes declare up to which the least urgent calls are let in: the
 * mean pause at which a stream of three times the usual length still ends before its caller leaves.
 */
const PAUSE_SHARE_LOWEST_RANK = 0.3;
/**
 * The same where the most urgent have engines of their own, as part of what the next declare: they are
 * harmed less by pauses than by slots that long prompts take.
 */
const PAUSE_SHARE_ISOLATED = 0.22;
/** Times that part for the first rank behind the most urgent. */
const PAUSE_FACTOR_SECOND_RANK = 2;
/** Part of the slots that the least urgent calls leave to those between them and the most urgent. */
const SLOT_RESERVE_LOWEST_RANK = 0.125;
/** Part of an engine's slots that less urgent calls may fill whatever the pace: below it, fewer calls would not mend a slow engine. */
const SLOT_SHARE_MIN = 0.25;
/** A call that waited this share of the time it has is no longer held: what is left must do for its answer. */
const WAIT_SHARE_MAX = 0.4;
/**
 * Times the usual bounds that an engine may be filled by calls which waited that long. No class may
 * starve; without a bound, though, a lasting overload lets everything in this way, and urgent calls are
 * turned away by queues full of it.
 */
const OVERFLOW_FACTOR = 1.25;

/** What becomes of a call for now. */
export const ADMISSION = {
  Send: 'send',
  Wait: 'wait',
  /** Nothing was free in time; it has not run. */
  Refuse: 'refuse',
} as const;
export type Admission = (typeof ADMISSION)[keyof typeof ADMISSION];

/** A call that is to be let in, held or turned away. */
export interface AdmissionInput {
  /** Distinct priorities of routes to the same pool that are more urgent, and all there are. */
  readonly rank: number;
  readonly ranks: number;
  /** Calls under way at that engine, and how many it runs at once. */
  readonly running: number;
  readonly slots: number;
  /** Whether the most urgent streams have engines of their own and none of them runs at this one. */
  readonly isIsolated: boolean;
  /** The mean pause of streams there if the call is let in, in milliseconds; undefined while unknown. */
  readonly pauseMs: number | undefined;
  /** The shortest pause that a more urgent route declares whose calls come to this engine, in milliseconds; infinite where none does. */
  readonly urgentPauseMs: number;
  readonly receivedMs: number;
  readonly deadlineMs: number;
  readonly nowMs: number;
}

/**
 * How far before the least urgent the call goes: 0 for these, 1 for the first rank behind the most urgent.
 *
 * Guards against calls of a middle rank that are turned away while less urgent ones begin elsewhere:
 * instances cannot put their waiting calls in one order.
 */
function computePrecedence({ rank, ranks }: AdmissionInput): number {
  return (ranks - 1 - rank) / Math.max(1, ranks - 2);
}

/** Whether letting the call in would slow down more urgent streams too much. */
function isPauseLimited(input: AdmissionInput): boolean {
  const { running, slots, isIsolated, pauseMs, urgentPauseMs } = input;
  if (pauseMs === undefined) return false;
  const factor = 1 + (PAUSE_FACTOR_SECOND_RANK - 1) * computePrecedence(input);
  const share = (isIsolated ? PAUSE_SHARE_ISOLATED : PAUSE_SHARE_LOWEST_RANK) * factor;
  return running >= slots * SLOT_SHARE_MIN && pauseMs > urgentPauseMs * share;
}

/** Whether the engine has a slot for a call that more urgent ones go before. */
function hasSlot(input: AdmissionInput, overflow: number): boolean {
  const { rank, ranks, running, slots } = input;
  const reserve = (SLOT_RESERVE_LOWEST_RANK * (rank - 1)) / Math.max(1, ranks - 2);
  return running < slots * (1 - reserve) * overflow;
}

/**
 * Whether the call goes, waits or is turned away. An engine queues about twice its slots and refuses
 * what comes beyond; the most urgent may use half of that queue, where it puts them first, and
 * everybody else waits here, where nothing is lost.
 */
export function chooseAdmission(input: AdmissionInput): Admission {
  const { rank, running, slots, receivedMs, deadlineMs, nowMs } = input;
  const isWaitExhausted = nowMs - receivedMs >= (deadlineMs - receivedMs) * WAIT_SHARE_MAX;
  if (rank === 0) {
    const isWaiting = !isWaitExhausted && running >= slots * URGENT_QUEUE_FACTOR;
    return isWaiting ? ADMISSION.Wait : ADMISSION.Send;
  }
  const hasRoom = hasSlot(input, isWaitExhausted ? OVERFLOW_FACTOR : 1) && !isPauseLimited(input);
  if (hasRoom) return ADMISSION.Send;
  return isWaitExhausted ? ADMISSION.Refuse : ADMISSION.Wait;
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
function isPastTarget({ receivedMs, targetMs, answerMs }: WaitingCall, nowMs: number): boolean {
  return nowMs - receivedMs + answerMs > targetMs;
}

/** The more urgent first; of equals those that can still be in time, the oldest of these first. */
export function compareWaiting(a: WaitingCall, b: WaitingCall, nowMs: number): number {
  if (a.urgency !== b.urgency) return a.urgency - b.urgency;
  const lateness = Number(isPastTarget(a, nowMs)) - Number(isPastTarget(b, nowMs));
  return lateness !== 0 ? lateness : a.receivedMs - b.receivedMs;
}
