/** When the events of one stream came: how many, at which pace, and the longest pause between two. */
import type { EndpointLoad } from './told-loads.js';

/** The longest pause between two events of a stream, and what its engine had to do then. */
export interface LongestPause extends EndpointLoad {
  readonly pauseMs: number;
  /** Events that came before it. */
  readonly afterEvents: number;
}

/** What is known of a stream's events. */
export interface StreamRecord {
  readonly events: number;
  /** Mean pause between two events, in milliseconds; 0 before the second. */
  readonly meanPauseMs: number;
  /** Undefined before the second event. */
  readonly longestPause: LongestPause | undefined;
}

/** The times of one stream. */
export interface StreamTimes {
  /** An event came; `load` is what is under way at its engine from now on. Returns the pause before it, in milliseconds, if one came earlier. */
  recordEvent(nowMs: number, load: EndpointLoad): number | undefined;
  get(): StreamRecord;
}

/** Builds the times of a stream without events. */
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
    recordEvent(nowMs, load) {
      const pauseMs = events === 0 ? undefined : nowMs - lastMs;
      if (pauseMs === undefined) firstMs = nowMs;
      else recordPause(pauseMs);
      events += 1;
      lastMs = nowMs;
      loadAtLast = load;
      return pauseMs;
    },
    get: () => ({
      events,
      meanPauseMs: events > 1 ? (lastMs - firstMs) / (events - 1) : 0,
      longestPause,
    }),
  };
}
