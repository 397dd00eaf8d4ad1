/**
 * Leaving without cutting anything off, free of I/O: stop being ready, tell the others, let the
 * balancer notice, wait for every request in flight, then go. A second signal changes nothing.
 */

/** Stages from start to end. */
export const STAGE = {
  Starting: 'starting',
  Ready: 'ready',
  /** Not ready any more, but callers that still come are served. */
  Leaving: 'leaving',
  Drained: 'drained',
} as const;
export type Stage = (typeof STAGE)[keyof typeof STAGE];

/** Callers are still accepted this long after readiness went off: the balancer needs a moment. */
const BALANCER_NOTICE_MS = 2000;

/** What the lifecycle is told. */
export type DrainMessage =
  | { readonly kind: 'configured' }
  | { readonly kind: 'leave' }
  | { readonly kind: 'tick'; readonly inFlight: number };

/** What the lifecycle asks for. */
export type DrainCommand = 'announce_leaving' | 'stop_accepting' | 'announce_left' | 'stop';

/** The lifecycle of one instance. */
export interface Drain {
  handle(message: DrainMessage, nowMs: number): DrainCommand[];
  getStage(): Stage;
  /** Whether what still comes is served. */
  isAccepting(): boolean;
}

/**
 * Builds the lifecycle of an instance that starts; callers are accepted for `noticeMs` after it leaves.
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
          // A second signal must not cut off what the first one let go on.
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
