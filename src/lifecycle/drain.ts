/**
 * State machine for graceful shutdown. Performs no I/O. The instance becomes unready, announces that
 * it leaves, gives the load balancer time to deregister it, and stops once it holds no work. Work that
 * is left shortly before the process is killed is ended with an answer.
 */

/** Stages of an instance, in order. */
export const STAGE = {
  Starting: 'starting',
  Ready: 'ready',
  /** Not ready; requests are still accepted for a while. */
  Leaving: 'leaving',
  Drained: 'drained',
} as const;
export type Stage = (typeof STAGE)[keyof typeof STAGE];

const BALANCER_NOTICE_MS = 2000;
/** Time before the kill at which work that is left is ended. */
const END_MARGIN_MS = 700;
/** Upper bound of that time for short grace periods, as a share of them. */
const END_MARGIN_SHARE_MAX = 0.25;
/** Share of that time in which the last answers may be written out. */
const DELIVERY_SHARE = 0.4;
/** Share of the drain for which requests are accepted at most, so that they can still be answered. */
const NOTICE_SHARE_MAX = 0.5;

/** Times since the start of the drain, in milliseconds. */
export interface DrainTimes {
  /** Requests are accepted until then. */
  readonly noticeMs: number;
  /** Work that is left is ended then. */
  readonly endWorkMs: number;
  /** The instance stops then at the latest. */
  readonly stopMs: number;
}

export type DrainMessage =
  | { readonly kind: 'configured' }
  | { readonly kind: 'leave' }
  /** `inFlight`: calls without an answer, and answers that are not written out. */
  | { readonly kind: 'tick'; readonly inFlight: number };

export type DrainCommand =
  | 'announce_leaving'
  | 'stop_accepting'
  /** Ends each call that is left with an answer. */
  | 'end_work'
  | 'announce_left'
  | 'stop';

export interface Drain {
  handle(message: DrainMessage, nowMs: number): DrainCommand[];
  getStage(): Stage;
  /** Whether new requests are served. */
  isAccepting(): boolean;
  /** Time until work that is left is ended; infinite unless the instance is leaving. */
  computeLeftMs(nowMs: number): number;
}

/**
 * Computes the times of a drain. `graceMs`: time from the order to leave until the process is killed;
 * `balancerNoticeMs`: time in which the load balancer notices that the instance is not ready.
 * @default balancerNoticeMs 2000
 */
export function computeDrainTimes(
  graceMs: number,
  balancerNoticeMs = BALANCER_NOTICE_MS,
): DrainTimes {
  const marginMs = Math.min(END_MARGIN_MS, graceMs * END_MARGIN_SHARE_MAX);
  const endWorkMs = graceMs - marginMs;
  return {
    noticeMs: Math.min(balancerNoticeMs, endWorkMs * NOTICE_SHARE_MAX),
    endWorkMs,
    stopMs: endWorkMs + marginMs * DELIVERY_SHARE,
  };
}

export function createDrain({ noticeMs, endWorkMs, stopMs }: DrainTimes): Drain {
  let stage: Stage = STAGE.Starting;
  let leavingSinceMs = 0;
  let isAccepting = true;
  let isWorkEnded = false;

  function handleTick(inFlight: number, nowMs: number): DrainCommand[] {
    if (stage !== STAGE.Leaving) return [];
    const commands: DrainCommand[] = [];
    const sinceMs = nowMs - leavingSinceMs;
    if (isAccepting && sinceMs >= noticeMs) {
      isAccepting = false;
      commands.push('stop_accepting');
    }
    if (isAccepting) return commands;
    if (inFlight > 0 && !isWorkEnded && sinceMs >= endWorkMs) {
      isWorkEnded = true;
      return [...commands, 'end_work'];
    }
    if (inFlight > 0 && sinceMs < stopMs) return commands;
    stage = STAGE.Drained;
    return [...commands, 'announce_left', 'stop'];
  }

  return {
    handle(message, nowMs) {
      switch (message.kind) {
        case 'configured':
          if (stage === STAGE.Starting) stage = STAGE.Ready;
          return [];
        case 'leave':
          // A second signal must not restart or shorten the shutdown.
          if (stage === STAGE.Leaving || stage === STAGE.Drained) return [];
          stage = STAGE.Leaving;
          leavingSinceMs = nowMs;
          return ['announce_leaving'];
        default:
          return handleTick(message.inFlight, nowMs);
      }
    },
    getStage: () => stage,
    isAccepting: () => isAccepting,
    computeLeftMs(nowMs) {
      const isLeaving = stage === STAGE.Leaving || stage === STAGE.Drained;
      return isLeaving ? leavingSinceMs + endWorkMs - nowMs : Infinity;
    },
  };
}
