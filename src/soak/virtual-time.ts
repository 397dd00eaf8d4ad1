/**
 * Virtual time for simulations: a queue of events that run one after the other without waiting. Events
 * of a paused instance are deferred until it resumes; those of a dead one are dropped.
 */
import Emittery from 'emittery';
import type { Clock } from '../runtime/clock.js';
import type { TimerEvents, TimerService, Unsubscribe } from '../runtime/timer-service.js';

/** Longer pauses are reported to the instance. */
const PAUSE_REPORTED_MIN_MS = 1000;
/** Wall clock at virtual time 0. */
const EPOCH_MS = 1_700_000_000_000;

/** An instance that events belong to. */
export interface Actor {
  readonly name: string;
  isPaused: boolean;
  isDead: boolean;
  /** Events that are due and run when it resumes. */
  readonly deferred: (() => void)[];
}

interface QueuedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly actor: Actor | undefined;
  readonly run: () => void;
  isCancelled: boolean;
}

export interface VirtualTime {
  getNow(): number;
  /** Schedules `run` after `delayMs`; without an actor it is neither deferred nor dropped. */
  add(actor: Actor | undefined, delayMs: number, run: () => void): Unsubscribe;
  /** Runs all events up to a time and returns their number. */
  runUntil(untilMs: number): Promise<number>;
  resume(actor: Actor): void;
  /** Creates the timers of an instance whose wall clock is ahead by `skewMs`. */
  createTimers(actor: Actor, skewMs: number): TimerService;
}

/** A binary heap, ordered by time and then by insertion. */
function createQueue() {
  const heap: QueuedEvent[] = [];

  function isBefore(a: QueuedEvent, b: QueuedEvent): boolean {
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
  }

  function setAt(index: number, event: QueuedEvent): void {
    heap[index] = event;
  }

  function add(event: QueuedEvent): void {
    heap.push(event);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      const above = heap[parent] as QueuedEvent;
      if (!isBefore(event, above)) break;
      setAt(index, above);
      index = parent;
    }
    setAt(index, event);
  }

  function take(): QueuedEvent | undefined {
    const [top] = heap;
    const last = heap.pop();
    if (heap.length === 0 || last === undefined) return top;
    let index = 0;
    for (;;) {
      let child = index * 2 + 1;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right] as QueuedEvent, heap[child] as QueuedEvent)) {
        child = right;
      }
      if (child >= heap.length || !isBefore(heap[child] as QueuedEvent, last)) break;
      setAt(index, heap[child] as QueuedEvent);
      index = child;
    }
    setAt(index, last);
    return top;
  }

  return { add, take, find: (): QueuedEvent | undefined => heap[0] };
}

/** Runs the callbacks of settled promises. */
function waitSettled(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

export function createVirtualTime(): VirtualTime {
  const queue = createQueue();
  let nowMs = 0;
  let order = 0;

  function add(actor: Actor | undefined, delayMs: number, run: () => void): Unsubscribe {
    order += 1;
    const atMs = nowMs + Math.max(0, delayMs);
    const event: QueuedEvent = { atMs, order, actor, run, isCancelled: false };
    queue.add(event);
    return () => {
      event.isCancelled = true;
    };
  }

  function runEvent(event: QueuedEvent): void {
    const { actor } = event;
    if (event.isCancelled || actor?.isDead === true) return;
    if (actor?.isPaused === true) {
      actor.deferred.push(() => {
        if (!event.isCancelled && !actor.isDead) event.run();
      });
      return;
    }
    event.run();
  }

  function createTimers(actor: Actor, skewMs: number): TimerService {
    const events = new Emittery<TimerEvents>();
    const active = new Set<Unsubscribe>();
    const clock: Clock = {
      monotonicMs: () => nowMs,
      wallMs: () => EPOCH_MS + nowMs + skewMs,
    };

    function subscribe(periodMs: number, handler: () => void): Unsubscribe {
      let isActive = true;
      function runPeriod(): void {
        if (!isActive) return;
        handler();
        add(actor, periodMs, runPeriod);
      }
      add(actor, periodMs, runPeriod);
      const stop = (): void => {
        isActive = false;
      };
      active.add(stop);
      return stop;
    }

    let seenMs = nowMs;
    subscribe(PAUSE_REPORTED_MIN_MS / 4, () => {
      const pausedMs = nowMs - seenMs - PAUSE_REPORTED_MIN_MS / 4;
      seenMs = nowMs;
      if (pausedMs > PAUSE_REPORTED_MIN_MS) events.emit('pause', { pausedMs });
    });
    return {
      clock,
      events,
      subscribe,
      subscribeOnce: (delayMs, handler) => add(actor, delayMs, handler),
      stop() {
        for (const stop of active) stop();
      },
    };
  }

  return {
    getNow: () => nowMs,
    add,
    async runUntil(untilMs) {
      let ran = 0;
      for (;;) {
        const next = queue.find();
        if (next === undefined || next.atMs > untilMs) break;
        queue.take();
        nowMs = next.atMs;
        runEvent(next);
        ran += 1;
        // Events due at the same time may run before the callbacks of promises, as on a real event loop.
        // eslint-disable-next-line no-await-in-loop
        if (queue.find()?.atMs !== nowMs) await waitSettled();
      }
      nowMs = untilMs;
      return ran;
    },
    resume(actor) {
      actor.isPaused = false;
      for (const run of actor.deferred.splice(0)) run();
    },
    createTimers,
  };
}

export function createActor(name: string): Actor {
  return { name, isPaused: false, isDead: false, deferred: [] };
}
