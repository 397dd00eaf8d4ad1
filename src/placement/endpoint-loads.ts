/**
 * What is under way at each endpoint, by own calls and by what other instances tell of theirs, and how
 * each endpoint has answered lately.
 */

import { assertNever } from '../utils/assert-never.js';
import type { DecayingSums } from '../utils/decaying-sums.js';
import { computeFailureShare, createFailureCounts } from './failure-shares.js';
import type { FailureCounts } from './failure-shares.js';
import { buildReadingSample, computePace, createReadingSums } from './reading-pace.js';
import type { ReadingSums } from './reading-pace.js';

/** Failures in a row after which an endpoint is set aside: one may be the call's own. */
const FAILURES_SUSPECT = 3;
/** An endpoint set aside gets one call again after this long, in milliseconds: a crashed one is back in two seconds or later. */
const PROBE_AFTER_MS = 1000;

/** What is under way at one endpoint. */
export interface EndpointLoad {
  /** Calls under way. */
  readonly running: number;
  /** Prompt tokens sent for which no first answer has come. */
  readonly unreadTokens: number;
}

/** What one instance has under way at one endpoint and how calls fared there lately, as it tells the others. */
export interface EndpointShareOfLoad extends EndpointLoad, FailureCounts, ReadingSums {
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
  recordFirst(nowMs: number): void;
  recordEnd(verdict: EndpointVerdict, nowMs: number): void;
}

/** Loads of all endpoints, each known by the id of its start: what is believed ends with the start. */
export interface EndpointLoads {
  /** The load of all instances that can be heard. */
  get(id: string): EndpointLoad;
  /** Own calls under way and how they fared, for the others. */
  listOwn(nowMs: number): EndpointShareOfLoad[];
  /** Everything that another instance has under way; its failures count where it is of the own data centre. */
  setTold(
    instance: string,
    shares: readonly EndpointShareOfLoad[],
    isNear: boolean,
    nowMs: number,
  ): void;
  /** Leaves out what was told longer than `toldAgeMaxMs` ago. */
  advance(nowMs: number, toldAgeMaxMs: number): void;
  /** Which part of its calls the endpoint fails, 0 to 1. */
  computeFailureShare(id: string, nowMs: number): number;
  /** Prompt tokens the endpoint reads in a millisecond. */
  computePace(id: string, nowMs: number): number;
  /** The same for endpoints on the whole. */
  getMeanPace(nowMs: number): number;
  /** Whether own calls say that the endpoint should be passed over for now. */
  isSuspect(id: string, nowMs: number): boolean;
  start(id: string, unreadTokens: number, nowMs: number): LoadTicket;
  remove(id: string): void;
}

/** The pace of all engines together is computed anew after this long, in milliseconds: others tell theirs as often, and each choice asks for it. */
const MEAN_PACE_MAX_AGE_MS = 100;
/** Own sums below these are not told: they no longer change a choice. */
const TOLD_FAILURES_MIN = 0.1;
const TOLD_READING_MS_MIN = 50;

interface LoadState {
  running: number;
  unreadTokens: number;
  failuresInRow: number;
  lastFailureMs: number;
  readonly failures: DecayingSums<keyof FailureCounts>;
  readonly reading: DecayingSums<keyof ReadingSums>;
}

interface Told {
  readonly shares: readonly EndpointShareOfLoad[];
  readonly isNear: boolean;
  readonly toldMs: number;
}

type OtherSums = { -readonly [K in keyof Omit<EndpointShareOfLoad, 'endpoint'>]: number };

function createOtherSums(): OtherSums {
  return { running: 0, unreadTokens: 0, answers: 0, failures: 0, readTokens: 0, readMs: 0 };
}

const NOTHING_TOLD: Readonly<OtherSums> = createOtherSums();

/** Builds loads of which nothing is known. */
export function createEndpointLoads(): EndpointLoads {
  const states = new Map<string, LoadState>();
  const told = new Map<string, Told>();
  /** Sums of what others told, by endpoint, kept up to date so that a choice need not add them up. */
  const others = new Map<string, OtherSums>();
  let meanPace = 0;
  let meanPaceMs = -Infinity;
  /** How many tellings name the endpoint. */
  const tellings = new Map<string, number>();

  function addTold({ shares, isNear }: Told, sign: 1 | -1): void {
    for (const share of shares) {
      const sum = others.get(share.endpoint) ?? createOtherSums();
      sum.running += sign * share.running;
      sum.unreadTokens += sign * share.unreadTokens;
      sum.readTokens += sign * share.readTokens;
      sum.readMs += sign * share.readMs;
      if (isNear) {
        sum.answers += sign * share.answers;
        sum.failures += sign * share.failures;
      }
      const count = (tellings.get(share.endpoint) ?? 0) + sign;
      tellings.set(share.endpoint, count);
      // Dropped rather than left at zero: sums of fractions would keep a rest.
      if (count > 0) others.set(share.endpoint, sum);
      else others.delete(share.endpoint);
    }
  }

  function removeTold(instance: string): void {
    const known = told.get(instance);
    if (known !== undefined) addTold(known, -1);
    told.delete(instance);
  }

  function getOthers(id: string): Readonly<OtherSums> {
    return others.get(id) ?? NOTHING_TOLD;
  }

  function readReading(id: string, nowMs: number): ReadingSums {
    const own = states.get(id)?.reading.read(nowMs);
    const other = getOthers(id);
    return {
      readTokens: (own?.readTokens ?? 0) + other.readTokens,
      readMs: (own?.readMs ?? 0) + other.readMs,
    };
  }

  function buildShare(
    endpoint: string,
    state: LoadState,
    nowMs: number,
  ): EndpointShareOfLoad | undefined {
    const { running, unreadTokens } = state;
    const { answers, failures } = state.failures.read(nowMs);
    const { readTokens, readMs } = state.reading.read(nowMs);
    const isQuiet = failures < TOLD_FAILURES_MIN && readMs < TOLD_READING_MS_MIN;
    if (running === 0 && isQuiet) return undefined;
    return { endpoint, running, unreadTokens, answers, failures, readTokens, readMs };
  }

  function getState(id: string): LoadState {
    const known = states.get(id);
    if (known !== undefined) return known;
    const state: LoadState = {
      running: 0,
      unreadTokens: 0,
      failuresInRow: 0,
      lastFailureMs: -Infinity,
      failures: createFailureCounts(),
      reading: createReadingSums(),
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

  function startCall(id: string, unreadTokens: number, startedMs: number): LoadTicket {
    const state = getState(id);
    const aheadTokens = state.unreadTokens + getOthers(id).unreadTokens + unreadTokens;
    let unread = unreadTokens;
    let isAnswered = false;
    let isEnded = false;
    state.running += 1;
    state.unreadTokens += unread;

    function removeUnread(): void {
      state.unreadTokens -= unread;
      unread = 0;
    }

    return {
      recordFirst(nowMs) {
        removeUnread();
        if (isAnswered || unreadTokens === 0) return;
        isAnswered = true;
        state.reading.add(buildReadingSample(aheadTokens, nowMs - startedMs), nowMs);
      },
      recordEnd(verdict, nowMs) {
        if (isEnded) return;
        isEnded = true;
        removeUnread();
        state.running -= 1;
        recordVerdict(state, verdict, nowMs);
        if (verdict === ENDPOINT_VERDICT.None) return;
        const failures = verdict === ENDPOINT_VERDICT.Good ? 0 : 1;
        state.failures.add({ answers: 1, failures }, nowMs);
      },
    };
  }

  return {
    get(id) {
      const own = states.get(id);
      const other = getOthers(id);
      return {
        running: (own?.running ?? 0) + other.running,
        unreadTokens: (own?.unreadTokens ?? 0) + other.unreadTokens,
      };
    },
    listOwn: (nowMs) =>
      [...states]
        .map(([endpoint, state]) => buildShare(endpoint, state, nowMs))
        .filter((share) => share !== undefined),
    setTold(instance, shares, isNear, nowMs) {
      removeTold(instance);
      const telling: Told = { shares, isNear, toldMs: nowMs };
      told.set(instance, telling);
      addTold(telling, 1);
    },
    advance(nowMs, toldAgeMaxMs) {
      for (const [instance, { toldMs }] of told) {
        if (nowMs - toldMs > toldAgeMaxMs) removeTold(instance);
      }
    },
    computeFailureShare(id, nowMs) {
      const own = states.get(id)?.failures.read(nowMs);
      const other = getOthers(id);
      return computeFailureShare({
        answers: (own?.answers ?? 0) + other.answers,
        failures: (own?.failures ?? 0) + other.failures,
      });
    },
    computePace: (id, nowMs) => computePace(readReading(id, nowMs)),
    getMeanPace(nowMs) {
      if (nowMs - meanPaceMs < MEAN_PACE_MAX_AGE_MS) return meanPace;
      meanPaceMs = nowMs;
      const ids = new Set([...states.keys(), ...others.keys()]);
      let readTokens = 0;
      let readMs = 0;
      for (const id of ids) {
        const sums = readReading(id, nowMs);
        readTokens += sums.readTokens;
        readMs += sums.readMs;
      }
      const engines = Math.max(1, ids.size);
      meanPace = computePace({ readTokens: readTokens / engines, readMs: readMs / engines });
      return meanPace;
    },
    isSuspect(id, nowMs) {
      const state = states.get(id);
      if (state === undefined || state.failuresInRow < FAILURES_SUSPECT) return false;
      // One call at a time finds out whether it is back.
      return state.running > 0 || nowMs - state.lastFailureMs < PROBE_AFTER_MS;
    },
    start: startCall,
    remove(id) {
      states.delete(id);
    },
  };
}
