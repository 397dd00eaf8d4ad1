/**
 * What is under way at each endpoint, by own calls and by what other instances tell of theirs, and how
 * each endpoint has answered lately.
 */

import { assertNever } from '../utils/assert-never.js';
import { createFailureShares } from './failure-shares.js';
import type { FailureCounts } from './failure-shares.js';

/** Failures in a row after which an endpoint is set aside: one may be the call's own. */
const FAILURES_SUSPECT = 3;
/** An endpoint set aside gets one call again after this long, in milliseconds: a crashed one is back in two seconds or later. */
const PROBE_AFTER_MS = 1000;

/** What a peer told counts this long, in milliseconds: ten times the pause between two tellings. */
const TOLD_MAX_AGE_MS = 1000;

/** What is under way at one endpoint. */
export interface EndpointLoad {
  /** Calls under way. */
  readonly running: number;
  /** Prompt tokens sent for which no first answer has come. */
  readonly unreadTokens: number;
}

/** What one instance has under way at one endpoint and which calls failed there lately, as it tells the others. */
export interface EndpointShareOfLoad extends EndpointLoad, FailureCounts {
  readonly endpoint: string;
}

/** What the end of a call says of its endpoint. */
export const ENDPOINT_VERDICT = {
  /** It did its part. */
  Good: 'good',
  /** The call ended for reasons that say nothing of it. */
  None: 'none',
  /** It refused the call or answered with an error of its own: the connection works. */
  Errored: 'errored',
  /** Its answer broke off or did not come. */
  Failed: 'failed',
  /** No connection could be made: all further calls would fail alike. */
  Unreachable: 'unreachable',
} as const;
export type EndpointVerdict = (typeof ENDPOINT_VERDICT)[keyof typeof ENDPOINT_VERDICT];

/** A call that is under way at an endpoint. */
export interface LoadTicket {
  /** The first bytes of its answer came. */
  recordFirst(): void;
  recordEnd(verdict: EndpointVerdict, nowMs: number): void;
}

/** Loads of all endpoints. */
export interface EndpointLoads {
  /** The load of all instances that can be heard. */
  get(id: string): EndpointLoad;
  /** Own calls under way and failed, for the others. */
  listOwn(nowMs: number): EndpointShareOfLoad[];
  /** Everything that another instance has under way; its failures count where it is of the own data centre. */
  setTold(
    instance: string,
    shares: readonly EndpointShareOfLoad[],
    isNear: boolean,
    nowMs: number,
  ): void;
  /** Leaves out what was told too long ago. */
  advance(nowMs: number): void;
  /** Which part of its calls the endpoint fails, 0 to 1. */
  computeFailureShare(id: string, nowMs: number): number;
  /** Whether own calls say that the endpoint should be passed over for now. */
  isSuspect(id: string, nowMs: number): boolean;
  start(id: string, unreadTokens: number): LoadTicket;
  remove(id: string): void;
}

const NOTHING_FAILED: FailureCounts = { answers: 0, failures: 0 };

interface LoadState {
  running: number;
  unreadTokens: number;
  failuresInRow: number;
  lastFailureMs: number;
}

interface Told {
  readonly shares: readonly EndpointShareOfLoad[];
  readonly toldMs: number;
}

/** Builds loads of which nothing is known. */
export function createEndpointLoads(): EndpointLoads {
  const states = new Map<string, LoadState>();
  const told = new Map<string, Told>();
  /** Sums of what others told, by endpoint. */
  const others = new Map<string, { running: number; unreadTokens: number }>();
  const failureShares = createFailureShares();

  function addTold(shares: readonly EndpointShareOfLoad[], sign: 1 | -1): void {
    for (const { endpoint, running, unreadTokens } of shares) {
      const sum = others.get(endpoint) ?? { running: 0, unreadTokens: 0 };
      sum.running += sign * running;
      sum.unreadTokens += sign * unreadTokens;
      if (sum.running === 0 && sum.unreadTokens === 0) others.delete(endpoint);
      else others.set(endpoint, sum);
    }
  }

  function removeTold(instance: string): void {
    const known = told.get(instance);
    if (known !== undefined) addTold(known.shares, -1);
    told.delete(instance);
    failureShares.removeTold(instance);
  }

  function setToldFailures(instance: string, shares: readonly EndpointShareOfLoad[]): void {
    const failing = shares.filter(({ failures }) => failures > 0);
    failureShares.setTold(instance, new Map(failing.map((share) => [share.endpoint, share])));
  }

  function getState(id: string): LoadState {
    const known = states.get(id);
    if (known !== undefined) return known;
    const state: LoadState = {
      running: 0,
      unreadTokens: 0,
      failuresInRow: 0,
      lastFailureMs: -Infinity,
    };
    states.set(id, state);
    return state;
  }

  function recordVerdict(state: LoadState, verdict: EndpointVerdict, nowMs: number): void {
    switch (verdict) {
      case ENDPOINT_VERDICT.Good:
      case ENDPOINT_VERDICT.Errored:
        state.failuresInRow = 0;
        break;
      case ENDPOINT_VERDICT.None:
        break;
      case ENDPOINT_VERDICT.Failed:
        state.failuresInRow += 1;
        state.lastFailureMs = nowMs;
        break;
      case ENDPOINT_VERDICT.Unreachable:
        state.failuresInRow = Math.max(FAILURES_SUSPECT, state.failuresInRow + 1);
        state.lastFailureMs = nowMs;
        break;
      default:
        assertNever(verdict);
    }
  }

  return {
    get(id) {
      const own = states.get(id);
      const other = others.get(id);
      return {
        running: (own?.running ?? 0) + (other?.running ?? 0),
        unreadTokens: (own?.unreadTokens ?? 0) + (other?.unreadTokens ?? 0),
      };
    },
    listOwn(nowMs) {
      const shares: EndpointShareOfLoad[] = [];
      for (const [endpoint, { running, unreadTokens }] of states) {
        const failed = failureShares.findOwn(endpoint, nowMs);
        if (running > 0 || failed !== undefined) {
          shares.push({ endpoint, running, unreadTokens, ...(failed ?? NOTHING_FAILED) });
        }
      }
      return shares;
    },
    setTold(instance, shares, isNear, nowMs) {
      removeTold(instance);
      told.set(instance, { shares, toldMs: nowMs });
      addTold(shares, 1);
      if (isNear) setToldFailures(instance, shares);
    },
    advance(nowMs) {
      for (const [instance, { toldMs }] of told) {
        if (nowMs - toldMs > TOLD_MAX_AGE_MS) removeTold(instance);
      }
    },
    computeFailureShare: (id, nowMs) => failureShares.compute(id, nowMs),
    isSuspect(id, nowMs) {
      const state = states.get(id);
      if (state === undefined || state.failuresInRow < FAILURES_SUSPECT) return false;
      // One call at a time finds out whether it is back.
      return state.running > 0 || nowMs - state.lastFailureMs < PROBE_AFTER_MS;
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
        recordEnd(verdict, nowMs) {
          if (isEnded) return;
          isEnded = true;
          settleUnread();
          state.running -= 1;
          recordVerdict(state, verdict, nowMs);
          if (verdict !== ENDPOINT_VERDICT.None) {
            failureShares.record(id, verdict !== ENDPOINT_VERDICT.Good, nowMs);
          }
        },
      };
    },
    remove(id) {
      states.delete(id);
      failureShares.remove(id);
    },
  };
}
