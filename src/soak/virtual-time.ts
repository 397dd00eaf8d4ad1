/**
 * Time for long randomised runs: events in one queue, run one after the other without waiting. Each
 * event belongs to an instance; a paused instance's events wait, a dead one's are dropped.
 */
import Emittery from 'emittery';
import type { Clock } from '../runtime/clock.js';
import type { TimerEvents, TimerService, Unsubscribe } from '../runtime/timer-service.js';

/** A pause longer than this, in milliseconds, is told to the instance. */
const PAUSE_TOLD_MS = 1000;
/** The wall clock at virtual time 0. */
const EPOCH_MS = 1_700_000_000_000;

/** Something events belong to. */
export interface Actor {
  readonly name: string;
  isPaused: boolean;
  isDead: boolean;
  /** Events that wait for the end of a pause. */
  readonly deferred: (() => void)[];
}

interface QueuedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly actor: Actor | undefined;
  readonly run: () => void;
  isCancelled: boolean;
}

/** The queue. */
export interface VirtualTime {
  getNow(): number;
  /** Runs `run` after `delayMs`, for an instance or, without one, for the world itself. */
  add(actor: Actor | undefined, delayMs: number, run: () => void): Unsubscribe;
  /** Runs events up to a moment; the number that ran. */
  runUntil(untilMs: number): Promise<number>;
  resume(actor: Actor): void;
  /** Timers of one instance, whose wall clock is off by `skewMs`. */
  createTimers(actor: Actor, skewMs: number): TimerService;
}

/** A binary heap by time, then by order of arrival. */
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

/** Lets every promise that is settled run on. */
function waitSettled(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/** Builds an empty queue at time 0. */
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
    subscribe(PAUSE_TOLD_MS / 4, () => {
      const pausedMs = nowMs - seenMs - PAUSE_TOLD_MS / 4;
      seenMs = nowMs;
      if (pausedMs > PAUSE_TOLD_MS) events.emit('pause', { pausedMs });
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
        // Events of one moment may run on before promises do, as they may on a real loop.
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

/** Builds something that events can belong to. */
export function createActor(name: string): Actor {
  return { name, isPaused: false, isDead: false, deferred: [] };
}
