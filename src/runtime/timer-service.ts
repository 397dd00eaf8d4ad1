/** The one place where time passes: parts subscribe to periods, delays and event-loop pauses. */
import Emittery from 'emittery';
import type { Clock } from './clock.js';

/** Ends a subscription. */
export type Unsubscribe = () => void;

/** How often the service looks for pauses of the event loop, in milliseconds. */
const PAUSE_PROBE_MS = 250;
/** A probe later than this, in milliseconds, counts as a pause. */
const PAUSE_THRESHOLD_MS = 1000;

/** Events of the timer service. */
export interface TimerEvents {
  /** The process did not run for `pausedMs` milliseconds. */
  pause: { readonly pausedMs: number };
}

/** Time for the parts of a process. */
export interface TimerService {
  readonly clock: Clock;
  readonly events: Emittery<TimerEvents>;
  /** Calls `handler` every `periodMs` milliseconds. */
  subscribe(periodMs: number, handler: () => void): Unsubscribe;
  /** Calls `handler` once, after `delayMs` milliseconds. */
  subscribeOnce(delayMs: number, handler: () => void): Unsubscribe;
  /** Ends every subscription. */
  stop(): void;
}

/** Builds the service on the machine's timers. */
export function createTimerService(clock: Clock): TimerService {
  const events = new Emittery<TimerEvents>();
  const active = new Set<NodeJS.Timeout>();

  function subscribe(periodMs: number, handler: () => void): Unsubscribe {
    const timer = setInterval(handler, periodMs);
    active.add(timer);
    return () => {
      clearInterval(timer);
      active.delete(timer);
    };
  }

  function subscribeOnce(delayMs: number, handler: () => void): Unsubscribe {
    const timer = setTimeout(() => {
      active.delete(timer);
      handler();
    }, delayMs);
    active.add(timer);
    return () => {
      clearTimeout(timer);
      active.delete(timer);
    };
  }

  let lastWallMs = clock.wallMs();
  subscribe(PAUSE_PROBE_MS, () => {
    const wallMs = clock.wallMs();
    const pausedMs = wallMs - lastWallMs - PAUSE_PROBE_MS;
    lastWallMs = wallMs;
    if (pausedMs > PAUSE_THRESHOLD_MS) events.emit('pause', { pausedMs });
  });

  return {
    clock,
    events,
    subscribe,
    subscribeOnce,
    stop() {
      for (const timer of active) clearTimeout(timer);
      active.clear();
      events.clearListeners();
    },
  };
}
