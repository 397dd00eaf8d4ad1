/** Measures the pauses between a stream's events. */
import type { EndpointLoad } from './remote-loads.js';

/** The longest pause between two events, with the load of the engine when it began. */
export interface LongestPause extends EndpointLoad {
  readonly pauseMs: number;
  /** Number of events before the pause. */
  readonly afterEvents: number;
}

export interface StreamRecord {
  readonly events: number;
  /** Mean pause between two events; 0 before the second event. */
  readonly meanPauseMs: number;
  /** Undefined before the second event. */
  readonly longestPause: LongestPause | undefined;
}

export interface StreamTimes {
  /**
   * Records events that came at once, and the load of the engine from then on. Returns the pause before
   * them, in milliseconds; undefined before the first event.
   */
  recordEvent(nowMs: number, load: EndpointLoad, joined?: number): number | undefined;
  /** The stream was not read for this time, which is no pause of its endpoint. */
  recordUnread(unreadMs: number): void;
  get(): StreamRecord;
}

export function createStreamTimes(): StreamTimes {
  let events = 0;
  let firstMs = 0;
  let lastMs = 0;
  let loadAtLast: EndpointLoad = { running: 0, unreadTokens: 0 };
  let longestPause: LongestPause | undefined;

  function recordPause(pauseMs: number): void {
    if (pauseMs <= (longestPause?.pauseMs ?? 0)) return;
    const { running, unreadTokens } = loadAtLast;
    longestPause = { pauseMs, afterEvents: events, running, unreadTokens };
  }

  return {
    recordEvent(nowMs, load, joined = 1) {
      const pauseMs = events === 0 ? undefined : nowMs - lastMs;
      if (pauseMs === undefined) firstMs = nowMs;
      else recordPause(pauseMs);
      events += joined;
      lastMs = nowMs;
      loadAtLast = load;
      return pauseMs;
    },
    recordUnread(unreadMs) {
      firstMs += unreadMs;
      lastMs += unreadMs;
    },
    get: () => ({
      events,
      meanPauseMs: events > 1 ? (lastMs - firstMs) / (events - 1) : 0,
      longestPause,
    }),
  };
}
