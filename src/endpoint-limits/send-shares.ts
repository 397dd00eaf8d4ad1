/**
 * Divides the rate of a limited endpoint among instances and paces the sends of this one. Performs
 * no I/O.
 *
 * A few holders, chosen by rendezvous hashing among the live instances, share the rate; all others
 * send nothing on their own. The number of holders depends on the rate alone, so that the sum of
 * all shares stays the same in a fleet of any size.
 */
import type { EndpointKey } from '../placement/remote-loads.js';
import { chooseRendezvous } from '../utils/hash.js';

/**
 * Share of the named rate that is used. Two instances that each take themselves for the only holder
 * together stay within one and a half times the rate.
 */
const RATE_USED_SHARE = 0.75;
/** Smallest share of one holder, in requests a second. */
const HOLDER_RATE_MIN_PER_SECOND = 1;
/** Time for which a starting instance holds no share, since it does not know the others yet. */
const SETTLE_MS = 3000;
/** Interval at which the holders are chosen again. */
const REFRESH_MS = 500;
/** A send that is late by no more than this, as timers are, does not delay the sends after it. */
const CATCH_UP_MS = 100;
/** Longest wait of a new holder for its first send. */
const FIRST_WAIT_MAX_MS = 3000;

export interface SendSharesOptions {
  readonly self: string;
  /** Names of the live instances, including this one. */
  readonly listAlive: () => readonly string[];
  /** Rate that the endpoint names, in requests a second; undefined if it has no limit. */
  readonly getRate: (endpoint: EndpointKey) => number | undefined;
  readonly startedMs: number;
}

export interface SendShares {
  /** Instances that may send to the endpoint. */
  listHolders(endpoint: EndpointKey, nowMs: number): readonly string[];
  /** This instance's share in requests a second; 0 if it holds none. */
  computeRate(endpoint: EndpointKey, nowMs: number): number;
  /** Time until this instance may send to the endpoint; infinite if it holds no share. */
  computeReadyInMs(endpoint: EndpointKey, nowMs: number): number;
  /** Whether this instance may send a request to the endpoint now. */
  isReady(endpoint: EndpointKey, nowMs: number): boolean;
  /** Takes one send; false if this instance must not send now. */
  take(endpoint: EndpointKey, nowMs: number): boolean;
  remove(endpoint: EndpointKey): void;
}

interface ShareState {
  perSecond: number;
  chosenMs: number;
  holders: readonly string[];
  /** When this instance last sent a request or became a holder; undefined while it is none. */
  lastMs: number | undefined;
  hasSent: boolean;
}

function countHolders(perSecond: number): number {
  return Math.max(1, Math.floor((perSecond * RATE_USED_SHARE) / HOLDER_RATE_MIN_PER_SECOND));
}

export function createSendShares(options: SendSharesOptions): SendShares {
  const { self, startedMs } = options;
  const states = new Map<EndpointKey, ShareState>();
  let alive: readonly string[] = [];
  let aliveMs = -Infinity;

  function listAlive(nowMs: number): readonly string[] {
    if (nowMs - aliveMs >= REFRESH_MS) {
      aliveMs = nowMs;
      alive = options.listAlive();
    }
    return alive;
  }

  function createState(): ShareState {
    return { perSecond: 0, chosenMs: -Infinity, holders: [], lastMs: undefined, hasSent: false };
  }

  function updateState(state: ShareState, endpoint: EndpointKey, nowMs: number): void {
    const perSecond = options.getRate(endpoint) ?? 0;
    if (perSecond === state.perSecond && nowMs - state.chosenMs < REFRESH_MS) return;
    state.perSecond = perSecond;
    state.chosenMs = nowMs;
    state.holders =
      perSecond === 0
        ? []
        : chooseRendezvous(`limit:${endpoint}`, listAlive(nowMs), countHolders(perSecond));
    const isHolder = state.holders.includes(self);
    if (!isHolder) state.lastMs = undefined;
    else if (state.lastMs === undefined) {
      state.lastMs = nowMs;
      state.hasSent = false;
    }
  }

  function getState(endpoint: EndpointKey, nowMs: number): ShareState {
    const state = states.get(endpoint) ?? createState();
    // Peers may ask about endpoints that this instance does not know.
    if (options.getRate(endpoint) === undefined) states.delete(endpoint);
    else states.set(endpoint, state);
    updateState(state, endpoint, nowMs);
    return state;
  }

  function computeRate(endpoint: EndpointKey, nowMs: number): number {
    const { holders, perSecond } = getState(endpoint, nowMs);
    if (nowMs - startedMs < SETTLE_MS || !holders.includes(self)) return 0;
    return (perSecond * RATE_USED_SHARE) / holders.length;
  }

  function computeReadyInMs(endpoint: EndpointKey, nowMs: number): number {
    const rate = computeRate(endpoint, nowMs);
    const { lastMs, hasSent } = getState(endpoint, nowMs);
    if (rate === 0 || lastMs === undefined) return Infinity;
    const intervalMs = hasSent ? 1000 / rate : Math.min(FIRST_WAIT_MAX_MS, 1000 / rate);
    return Math.max(0, lastMs + intervalMs - nowMs);
  }

  function isReady(endpoint: EndpointKey, nowMs: number): boolean {
    return computeReadyInMs(endpoint, nowMs) === 0;
  }

  return {
    listHolders: (endpoint, nowMs) => getState(endpoint, nowMs).holders,
    computeRate,
    computeReadyInMs,
    isReady,
    take(endpoint, nowMs) {
      if (!isReady(endpoint, nowMs)) return false;
      const state = getState(endpoint, nowMs);
      const dueMs = (state.lastMs ?? nowMs) + 1000 / computeRate(endpoint, nowMs);
      const isOnTime = state.hasSent && nowMs - dueMs <= CATCH_UP_MS;
      state.lastMs = isOnTime ? dueMs : nowMs;
      state.hasSent = true;
      return true;
    },
    remove(endpoint) {
      states.delete(endpoint);
    },
  };
}
