/**
 * State machine for graceful shutdown. Performs no I/O. The instance becomes unready, announces that
 * it leaves, gives the load balancer time to deregister it, and stops once no request is in flight or
 * the timeout has passed.
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

export type DrainMessage =
  | { readonly kind: 'configured' }
  | { readonly kind: 'leave' }
  | { readonly kind: 'tick'; readonly inFlight: number };

export type DrainCommand = 'announce_leaving' | 'stop_accepting' | 'announce_left' | 'stop';

export interface Drain {
  handle(message: DrainMessage, nowMs: number): DrainCommand[];
  getStage(): Stage;
  /** Whether new requests are served. */
  isAccepting(): boolean;
}

/**
 * `noticeMs`: time for which requests are accepted after the instance becomes unready.
 * @default noticeMs 2000
 */
export function createDrain(timeoutMs: number, noticeMs = BALANCER_NOTICE_MS): Drain {
  let stage: Stage = STAGE.Starting;
  let leavingSinceMs = 0;
  let isAccepting = true;

  function handleTick(inFlight: number, nowMs: number): DrainCommand[] {
    if (stage !== STAGE.Leaving) return [];
    const commands: DrainCommand[] = [];
    const sinceMs = nowMs - leavingSinceMs;
    if (isAccepting && sinceMs >= noticeMs) {
      isAccepting = false;
      commands.push('stop_accepting');
    }
    const isDone = inFlight === 0 || sinceMs >= timeoutMs;
    if (isAccepting || !isDone) return commands;
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
  };
}
