/** What this instance has under way at each endpoint, and how each has answered it lately. */

/** Failures in a row after which an endpoint is set aside. */
const FAILURES_SUSPECT = 3;
/** An endpoint set aside gets one call again after this long, in milliseconds. */
const PROBE_AFTER_MS = 1000;

/** One endpoint as this instance knows it from its own calls. */
export interface EndpointLoad {
  /** Calls under way. */
  readonly running: number;
  /** Prompt tokens sent for which no first answer has come. */
  readonly unreadTokens: number;
  readonly failuresInRow: number;
  readonly lastFailureMs: number;
}

/** A call that is under way at an endpoint. */
export interface LoadTicket {
  /** The first bytes of its answer came. */
  recordFirst(): void;
  /** It ended; `isFailed` where the endpoint did not do its part. */
  recordEnd(isFailed: boolean, nowMs: number): void;
}

/** Loads of all endpoints. */
export interface EndpointLoads {
  get(id: string): EndpointLoad;
  /** Whether own calls say that the endpoint should be passed over for now. */
  isSuspect(id: string, nowMs: number): boolean;
  start(id: string, unreadTokens: number): LoadTicket;
  remove(id: string): void;
}

interface LoadState {
  running: number;
  unreadTokens: number;
  failuresInRow: number;
  lastFailureMs: number;
}

const NO_LOAD: EndpointLoad = {
  running: 0,
  unreadTokens: 0,
  failuresInRow: 0,
  lastFailureMs: -Infinity,
};

/** Builds loads of which nothing is known. */
export function createEndpointLoads(): EndpointLoads {
  const states = new Map<string, LoadState>();

  function getState(id: string): LoadState {
    const known = states.get(id);
    if (known !== undefined) return known;
    const state: LoadState = { ...NO_LOAD };
    states.set(id, state);
    return state;
  }

  return {
    get: (id) => states.get(id) ?? NO_LOAD,
    isSuspect(id, nowMs) {
      const state = states.get(id);
      if (state === undefined || state.failuresInRow < FAILURES_SUSPECT) return false;
      return nowMs - state.lastFailureMs < PROBE_AFTER_MS;
    },
    start(id, unreadTokens) {
      const state = getState(id);
      let unread = unreadTokens;
      let isEnded = false;
      state.running += 1;
      state.unreadTokens += unread;
      const settleUnread = (): void => {
        state.unreadTokens -= unread;
        unread = 0;
      };
      return {
        recordFirst: settleUnread,
        recordEnd(isFailed, nowMs) {
          if (isEnded) return;
          isEnded = true;
          settleUnread();
          state.running -= 1;
          state.failuresInRow = isFailed ? state.failuresInRow + 1 : 0;
          if (isFailed) state.lastFailureMs = nowMs;
        },
      };
    },
    remove(id) {
      states.delete(id);
    },
  };
}
