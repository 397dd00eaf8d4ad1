/** Timers of a process: periods, delays and detection of event-loop pauses. */
import Emittery from 'emittery';
import type { Clock } from './clock.js';

export type Unsubscribe = () => void;

/** Periods that are multiples of this share one system timer. */
const SHARED_TIMER_MS = 100;
const PAUSE_PROBE_MS = 200;
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
   * Calls `handler` every `periodMs`. The first call may come sooner, since subscriptions share timers.
   */
  subscribe(periodMs: number, handler: () => void): Unsubscribe;
  /** Calls `handler` once, after `delayMs`. */
  subscribeOnce(delayMs: number, handler: () => void): Unsubscribe;
  /** Ends every subscription. */
  stop(): void;
}

interface Subscription {
  readonly periodMs: number;
  readonly handler: () => void;
  /** When the next call is due, on the monotonic clock. */
  dueMs: number;
}

/** A system timer and its subscribers. */
interface Interval {
  readonly timer: NodeJS.Timeout;
  readonly subscriptions: Set<Subscription>;
}

function resolveTimerMs(periodMs: number): number {
  return periodMs % SHARED_TIMER_MS === 0 ? SHARED_TIMER_MS : periodMs;
}

/** Longest delay of a system timer; a longer one would end at once. */
const DELAY_MAX_MS = 2 ** 31 - 1;

/**
 * Shares system timers between subscriptions, so that an idle process wakes less often. `onError`
 * receives what a handler throws; the other handlers are called all the same.
 * @default onError throws it
 */
export function createTimerService(
  clock: Clock,
  onError: (error: unknown) => void = (error) => {
    throw error;
  },
): TimerService {
  const events = new Emittery<TimerEvents>();
  const active = new Set<NodeJS.Timeout>();
  const intervals = new Map<number, Interval>();

  /** Guards against an error of one task that keeps the process from all others. */
  function runHandler(handler: () => void): void {
    try {
      handler();
    } catch (error) {
      onError(error);
    }
  }

  function runDue(subscription: Subscription, timerMs: number): void {
    const nowMs = clock.monotonicMs();
    const { periodMs, dueMs, handler } = subscription;
    // Slower subscriptions are called at the tick nearest to when they are due.
    if (periodMs > timerMs && nowMs < dueMs - timerMs / 2) return;
    subscription.dueMs = nowMs + periodMs;
    runHandler(handler);
  }

  function startInterval(timerMs: number): Interval {
    const subscriptions = new Set<Subscription>();
    const timer = setInterval(() => {
      for (const subscription of [...subscriptions]) {
        if (subscriptions.has(subscription)) runDue(subscription, timerMs);
      }
    }, timerMs);
    const interval: Interval = { timer, subscriptions };
    active.add(timer);
    intervals.set(timerMs, interval);
    return interval;
  }

  function subscribe(periodMs: number, handler: () => void): Unsubscribe {
    const timerMs = resolveTimerMs(periodMs);
    const interval = intervals.get(timerMs) ?? startInterval(timerMs);
    const subscription = { periodMs, handler, dueMs: clock.monotonicMs() + periodMs };
    interval.subscriptions.add(subscription);
    return () => {
      interval.subscriptions.delete(subscription);
      if (interval.subscriptions.size > 0 || intervals.get(timerMs) !== interval) return;
      clearInterval(interval.timer);
      active.delete(interval.timer);
      intervals.delete(timerMs);
    };
  }

  function subscribeOnce(delayMs: number, handler: () => void): Unsubscribe {
    const timer = setTimeout(
      () => {
        active.delete(timer);
        runHandler(handler);
      },
      Math.min(delayMs, DELAY_MAX_MS),
    );
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
