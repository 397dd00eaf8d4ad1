/**
 * Decides whether a call with a prompt is sent to its engine, waits at this instance or is refused.
 * Performs no I/O.
 *
 * Guards against overload: calls beyond the capacity of an engine fill its queue, so that it
 * refuses urgent calls, and slow down all of its streams.
 */

import { assertNever } from '../utils/assert-never.js';
import { POOL_ROOM } from './pool-room.js';
import type { PoolRoom } from './pool-room.js';

/** Multiple of the slots of an engine up to which the most urgent calls are sent. */
const URGENT_QUEUE_FACTOR = 2;
/**
 * Share of the pause declared by more urgent routes up to which calls of the lowest rank are sent: at
 * this mean pause, a stream of three times the usual length still ends before its caller leaves.
 */
const PAUSE_SHARE_LOWEST_RANK = 0.3;
/**
 * The same at engines that the most urgent streams do not use, as a share of the pause that the next
 * rank declares: pauses harm that rank less than slots taken by long prompts do.
 */
const PAUSE_SHARE_ISOLATED = 0.22;
/** Factor on these shares for the rank next to the most urgent. */
const PAUSE_FACTOR_SECOND_RANK = 2;
/**
 * Time in which an engine reads the prompts that were sent before, as a share of the target of a call of the
 * lowest rank, up to which that call is sent where room is scarce: while an engine reads prompts, all of its
 * streams are slow.
 */
const BACKLOG_SHARE_LOWEST_RANK = 0.2;
/** Share of the slots that the lowest rank leaves to the ranks between it and the most urgent. */
const SLOT_RESERVE_LOWEST_RANK = 0.125;
/**
 * Share of the slots that less urgent calls may use at any pause: below it, fewer calls would not
 * speed up a slow engine.
 */
const SLOT_SHARE_MIN = 0.25;
/** Share of the time to its deadline that a call may wait; the rest is left for its answer. */
const WAIT_SHARE_MAX = 0.4;
/**
 * Factor on the slot limit for calls that have waited that long, so that no rank starves. Bounded,
 * since in a lasting overload such calls would fill the queues of the engines.
 */
const OVERFLOW_FACTOR = 1.25;

export const ADMISSION = {
  Send: 'send',
  Wait: 'wait',
  /** No capacity became free in time; the call was not sent. */
  Refuse: 'refuse',
} as const;
export type Admission = (typeof ADMISSION)[keyof typeof ADMISSION];

export interface AdmissionInput {
  /**
   * Number of more urgent priorities among the routes of the pool, and number of all priorities.
   */
  readonly rank: number;
  readonly ranks: number;
  /** Calls running at the engine, and the number it can run at once. */
  readonly running: number;
  readonly slots: number;
  /** Those of the running calls that the engine preempts for this one. */
  readonly preemptible: number;
  /** Time in which the engine reads the prompts that were sent to it before. */
  readonly backlogMs: number;
  /** Whether the engine still has to read less urgent prompts. */
  readonly readsLessUrgent: boolean;
  /** What the more urgent calls of the pool leave to those of the lowest rank. */
  readonly poolRoom: PoolRoom;
  /** Target of the call for its first event. */
  readonly targetMs: number;
  /** Whether the most urgent streams have reserved engines and none of them runs at this one. */
  readonly isIsolated: boolean;
  /** Mean pause of streams predicted if the call is sent; undefined while unknown. */
  readonly pauseMs: number | undefined;
  /**
   * Shortest pause declared by a more urgent route that uses this engine; infinite if there is
   * none.
   */
  readonly urgentPauseMs: number;
  readonly receivedMs: number;
  readonly deadlineMs: number;
  readonly nowMs: number;
}

/**
 * Returns 0 for the lowest rank and 1 for the rank next to the most urgent. Guards against one
 * instance refusing calls of a middle rank while another sends less urgent ones.
 */
function computePrecedence({ rank, ranks }: AdmissionInput): number {
  return (ranks - 1 - rank) / Math.max(1, ranks - 2);
}

/**
 * Whether sending the call would slow down more urgent streams too much. An engine reads a part of some
 * prompt between any two tokens, that of a more urgent call first: while it has less urgent prompts to read,
 * one more call makes no pause longer.
 */
function isPauseLimited(input: AdmissionInput): boolean {
  const { running, slots, isIsolated, pauseMs, urgentPauseMs, readsLessUrgent } = input;
  if (pauseMs === undefined || readsLessUrgent) return false;
  const factor = 1 + (PAUSE_FACTOR_SECOND_RANK - 1) * computePrecedence(input);
  const share = (isIsolated ? PAUSE_SHARE_ISOLATED : PAUSE_SHARE_LOWEST_RANK) * factor;
  return running >= slots * SLOT_SHARE_MIN && pauseMs > urgentPauseMs * share;
}

/**
 * Whether the engine has a slot for the call that is not left to more urgent ones. A slot that the engine
 * takes from a less urgent call counts as free.
 */
function hasSlot(input: AdmissionInput, overflow: number): boolean {
  const { rank, ranks, running, preemptible, slots } = input;
  const reserve = (SLOT_RESERVE_LOWEST_RANK * (rank - 1)) / Math.max(1, ranks - 2);
  const isQueueShort = running < slots * URGENT_QUEUE_FACTOR;
  return isQueueShort && running - preemptible < slots * (1 - reserve) * overflow;
}

/** Whether a call of the lowest rank would take room that more urgent ones need. */
function isHeldBack(input: AdmissionInput): boolean {
  const { rank, ranks, backlogMs, targetMs, poolRoom } = input;
  if (rank < ranks - 1) return false;
  switch (poolRoom) {
    case POOL_ROOM.Ample:
      return false;
    case POOL_ROOM.Scarce:
      return backlogMs > targetMs * BACKLOG_SHARE_LOWEST_RANK;
    case POOL_ROOM.None:
      return true;
    default:
      return assertNever(poolRoom);
  }
}

/** Time that a call may still wait at this instance; negative once it must be sent or refused. */
export function computeWaitLeftMs(
  { receivedMs, deadlineMs }: Pick<AdmissionInput, 'receivedMs' | 'deadlineMs'>,
  nowMs: number,
): number {
  return receivedMs + (deadlineMs - receivedMs) * WAIT_SHARE_MAX - nowMs;
}

/**
 * Decides on one call. Only the most urgent calls may use part of the engine's own queue; all
 * others wait at this instance, since an engine refuses calls once its queue is full.
 */
export function chooseAdmission(input: AdmissionInput): Admission {
  const { rank, running, slots, nowMs } = input;
  const isWaitExhausted = computeWaitLeftMs(input, nowMs) <= 0;
  if (rank === 0) {
    const isWaiting = !isWaitExhausted && running >= slots * URGENT_QUEUE_FACTOR;
    return isWaiting ? ADMISSION.Wait : ADMISSION.Send;
  }
  const isFree = hasSlot(input, isWaitExhausted ? OVERFLOW_FACTOR : 1);
  if (isFree && !isPauseLimited(input) && !isHeldBack(input)) return ADMISSION.Send;
  return isWaitExhausted ? ADMISSION.Refuse : ADMISSION.Wait;
}

export interface WaitingCall {
  /** Rank among all calls; 0 is the most urgent. */
  readonly urgency: number;
  readonly receivedMs: number;
  /** Target for the first event, measured from the call's arrival. */
  readonly targetMs: number;
  /** Predicted time from sending the call to its first event. */
  readonly answerMs: number;
}

/** Whether the call can no longer meet its target. */
function isPastTarget({ receivedMs, targetMs, answerMs }: WaitingCall, nowMs: number): boolean {
  return nowMs - receivedMs + answerMs > targetMs;
}

/** Orders calls by urgency, then by whether they can still meet their target, then by age. */
export function compareWaiting(a: WaitingCall, b: WaitingCall, nowMs: number): number {
  if (a.urgency !== b.urgency) return a.urgency - b.urgency;
  const lateness = Number(isPastTarget(a, nowMs)) - Number(isPastTarget(b, nowMs));
  return lateness !== 0 ? lateness : a.receivedMs - b.receivedMs;
}
