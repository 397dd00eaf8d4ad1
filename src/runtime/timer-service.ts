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

/** Everybody who is called with one period. */
interface Interval {
  readonly timer: NodeJS.Timeout;
  readonly handlers: Set<() => void>;
}

/**
 * Builds the service on the machine's timers. One timer serves all subscriptions of a period, so that a
 * process with nothing to do wakes ten times a second and not once for each of its parts; the first call
 * may come sooner than a period after the subscription.
 */
export function createTimerService(clock: Clock): TimerService {
  const events = new Emittery<TimerEvents>();
  const active = new Set<NodeJS.Timeout>();
  const intervals = new Map<number, Interval>();

  function startInterval(periodMs: number): Interval {
    const handlers = new Set<() => void>();
    const timer = setInterval(() => {
      for (const handler of [...handlers]) if (handlers.has(handler)) handler();
    }, periodMs);
    const interval: Interval = { timer, handlers };
    active.add(timer);
    intervals.set(periodMs, interval);
    return interval;
  }

  function subscribe(periodMs: number, handler: () => void): Unsubscribe {
    const interval = intervals.get(periodMs) ?? startInterval(periodMs);
    // The same function may be subscribed twice.
    const call = (): void => handler();
    interval.handlers.add(call);
    return () => {
      interval.handlers.delete(call);
      if (interval.handlers.size > 0 || intervals.get(periodMs) !== interval) return;
      clearInterval(interval.timer);
      active.delete(interval.timer);
      intervals.delete(periodMs);
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
      intervals.clear();
      events.clearListeners();
    },
  };
}
