/** Timers of a process: periods, delays and detection of event-loop pauses. */
import Emittery from 'emittery';
import type { Clock } from './clock.js';

export type Unsubscribe = () => void;

const PAUSE_PROBE_MS = 250;
/** A probe delayed by more than this is reported as a pause. */
const PAUSE_THRESHOLD_MS = 1000;

export interface TimerEvents {
  /** The event loop did not run for `pausedMs`. */
  pause: { readonly pausedMs: number };
}

export interface TimerService {
  readonly clock: Clock;
  readonly events: Emittery<TimerEvents>;
  /**
   * Calls `handler` every `periodMs`. The first call may come sooner, since subscriptions of the same
   * period share a timer.
   */
  subscribe(periodMs: number, handler: () => void): Unsubscribe;
  /** Calls `handler` once, after `delayMs`. */
  subscribeOnce(delayMs: number, handler: () => void): Unsubscribe;
  /** Ends every subscription. */
  stop(): void;
}

/** The subscribers of one period. */
interface Interval {
  readonly timer: NodeJS.Timeout;
  readonly handlers: Set<() => void>;
}

/** Uses one system timer per period, so that an idle process wakes less often. */
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
