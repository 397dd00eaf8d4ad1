/**
 * Tracks the load, failures and speed of endpoints, from this instance's calls and from load
 * updates of other instances.
 */

import { assertNever } from '../utils/assert-never.js';
import { createMovingAverage } from '../utils/moving-average.js';
import type { MovingAverage } from '../utils/moving-average.js';
import type { DecayingSums } from '../utils/decaying-sums.js';
import { computeFailureRate, createFailureCounts } from './failure-rate.js';
import type { FailureCounts } from './failure-rate.js';
import { LOAD_CLASS } from './load-class.js';
import type { LoadClass } from './load-class.js';
import { createPrefillFit } from './prefill-fit.js';
import type { PrefillFit, PrefillSpeed } from './prefill-fit.js';
import { buildPrefillSample, computeSlowdown, createPrefillSums } from './prefill-slowdown.js';
import type { PrefillSums } from './prefill-slowdown.js';
import { createPauseModel } from './pause-model.js';
import { predictEnginePauseMs } from './engine-timing.js';
import { createPauseSums } from './pause-sums.js';
import type { PauseSums } from './pause-sums.js';
import type { PauseModel } from './pause-model.js';
import { createStreamTimes } from './stream-times.js';
import type { StreamRecord } from './stream-times.js';
import { createRemoteLoads, hashStartId, mergeShares } from './remote-loads.js';
import type { EndpointKey, EndpointLoadShare, FleetLoad, RemoteLoads } from './remote-loads.js';
import type { RegisteredEndpoint } from '../types/traffic.js';

/** Consecutive failures after which an endpoint is suspect; one may be the call's own. */
const SUSPECT_AFTER_FAILURES = 3;
/**
 * Time after its last failure at which a suspect endpoint gets a probe call; a crashed one takes two
 * seconds or more to return.
 */
const PROBE_AFTER_MS = 1000;
/**
 * Bound of the same time for an endpoint that was never reached; it doubles with each probe. Guards against
 * entries of addresses where nothing answers, each of which costs a call an attempt.
 */
const UNREACHED_PROBE_AFTER_MAX_MS = 8000;
/** The same times are longer by this factor for urgent calls: less urgent ones try the endpoint first. */
const URGENT_PROBE_FACTOR = 5;

/** How an endpoint handled a call that has ended. */
export const ENDPOINT_VERDICT = {
  /** The endpoint answered as expected. */
  Good: 'good',
  /** The call ended for a reason unrelated to the endpoint. */
  None: 'none',
  /** The endpoint asked for rest, which says nothing of its health. */
  Resting: 'resting',
  /** The endpoint refused the call or answered with an error, so the connection works. */
  Errored: 'errored',
  /** The answer broke off or never came. */
  Failed: 'failed',
  /** No connection could be made, so further calls would fail as well. */
  Unreachable: 'unreachable',
} as const;
export type EndpointVerdict = (typeof ENDPOINT_VERDICT)[keyof typeof ENDPOINT_VERDICT];

/** Records the progress of one call at an endpoint. */
export interface LoadTicket {
  /** Records events of the answer that came at once, or the whole answer. */
  recordEvent(nowMs: number, events?: number): void;
  /** This instance stops or starts to read the answer, which is no pause of the endpoint. */
  recordHeld(isHeld: boolean, nowMs: number): void;
  recordEnd(verdict: EndpointVerdict, nowMs: number): void;
  /** Timing of the answer's events so far. */
  getStream(): StreamRecord;
}

/** Timing estimates for a pool's engines. */
export interface PoolTiming {
  /** Undefined until enough prompts have been read. */
  readonly prefillSpeed: PrefillSpeed | undefined;
  /** Mean number of tokens read per prompt; 0 before the first. */
  readonly meanReadTokens: number;
  /** Mean time from sending a call to the end of its answer; 0 before the first. */
  readonly meanRunMs: number;
  /** Increase in the pause between stream events per running call; 0 while unknown. */
  readonly pauseMsPerCall: number;
}

/** What all reachable instances saw of an endpoint recently. */
export interface EndpointSeen extends FailureCounts, PrefillSums {
  readonly running: number;
  /** Running calls of this instance. */
  readonly ownRunning: number;
}

/** Loads by start id, so that a restarted endpoint begins without history. */
export interface EndpointLoads {
  /** Load from all reachable instances, including this one. */
  get(id: string): FleetLoad;
  /** Running calls of this instance. */
  countOwn(id: string): number;
  readSeen(id: string, nowMs: number): EndpointSeen;
  /** Load and recent outcomes of this instance's calls, for load updates. */
  listOwn(nowMs: number): EndpointLoadShare[];
  /** The same for all reachable instances, including this one. */
  listFleet(nowMs: number): EndpointLoadShare[];
  /** Loads reported by other instances. */
  readonly remote: Omit<RemoteLoads, 'get' | 'list' | 'listFrom'>;
  /** Recent failure rate of the endpoint, 0 to 1. */
  getFailureRate(id: string, nowMs: number): number;
  /** Time the endpoint takes to read prompts, relative to its pool; 1 while unknown. */
  getSlowdown(endpoint: RegisteredEndpoint, nowMs: number): number;
  getPoolTiming(pool: string): PoolTiming;
  /** Mean pause between stream events at an engine with `running` calls; undefined while unknown. */
  predictPauseMs(pool: string, running: number, nowMs: number): number | undefined;
  /** The same at this engine, from its own recent pauses where there are enough. */
  predictEnginePauseMs(
    endpoint: RegisteredEndpoint,
    running: number,
    nowMs: number,
  ): number | undefined;
  /** Whether calls of this instance reached the endpoint, and none has failed to since. */
  isReached(id: string): boolean;
  /**
   * Whether the endpoint should be skipped because calls of this instance failed in a row. `isUrgent`: for a
   * call that should not be the one that tries it again.
   * @default isUrgent false
   */
  isSuspect(id: string, nowMs: number, isUrgent?: boolean): boolean;
  /** Records that no connection could be made, while it is not known whether a peer reaches the endpoint. */
  recordUnreachable(id: string): void;
  /** Records that a peer got an answer of the endpoint. */
  recordReachable(id: string): void;
  /**
   * Records that a call is sent to an endpoint that is expected to read `unreadTokens` of its
   * prompt.
   * @default loadClass LOAD_CLASS.Normal
   */
  start(
    endpoint: RegisteredEndpoint,
    unreadTokens: number,
    nowMs: number,
    loadClass?: LoadClass,
  ): LoadTicket;
  remove(id: string): void;
}

/** Weight of the newest call in the moving average of run times. */
const RUN_ALPHA = 0.02;
/** Endpoints without running calls are left out of load updates below these sums. */
const REPORTED_FAILURES_MIN = 0.1;
const REPORTED_READ_MS_MIN = 50;
/** Events that came at once and are counted as pauses; more say no more of the endpoint. */
const JOINED_EVENTS_MAX = 32;

interface LoadState {
  running: number;
  urgent: number;
  preemptible: number;
  preemptibleUnreadTokens: number;
  unreadTokens: number;
  failuresInRow: number;
  lastFailureMs: number;
  /** No connection could be made, and no call has ended since. */
  isUnreachable: boolean;
  wasReached: boolean;
  readonly failures: DecayingSums<keyof FailureCounts>;
  readonly prefill: DecayingSums<keyof PrefillSums>;
  readonly pauses: DecayingSums<keyof PauseSums>;
}

/** Estimates learned from this instance's calls to a pool. */
interface PoolState {
  readonly prefillFit: PrefillFit;
  readonly readTokens: MovingAverage;
  readonly runMs: MovingAverage;
  readonly pauses: PauseModel;
}

function computeProbeAfterMs({ wasReached, failuresInRow }: LoadState): number {
  if (wasReached) return PROBE_AFTER_MS;
  const probes = failuresInRow - SUSPECT_AFTER_FAILURES;
  return Math.min(UNREACHED_PROBE_AFTER_MAX_MS, PROBE_AFTER_MS * 2 ** probes);
}

export function createEndpointLoads(): EndpointLoads {
  const states = new Map<string, LoadState>();
  const remote = createRemoteLoads();
  const pools = new Map<string, PoolState>();

  /** Cached because every choice needs the keys of the whole pool. */
  const keys = new Map<string, EndpointKey>();

  function getKey(id: string): EndpointKey {
    const known = keys.get(id);
    if (known !== undefined) return known;
    const key = hashStartId(id);
    keys.set(id, key);
    return key;
  }

  function readPrefill(id: string, nowMs: number): PrefillSums {
    const own = states.get(id)?.prefill.read(nowMs);
    const other = remote.get(getKey(id));
    return {
      readTokens: (own?.readTokens ?? 0) + other.readTokens,
      readMs: (own?.readMs ?? 0) + other.readMs,
    };
  }

  function buildShare(id: string, state: LoadState, nowMs: number): EndpointLoadShare | undefined {
    const { running, urgent, preemptible, preemptibleUnreadTokens, unreadTokens } = state;
    const { answers, failures } = state.failures.read(nowMs);
    const { readTokens, readMs } = state.prefill.read(nowMs);
    const { pauses, pauseMs } = state.pauses.read(nowMs);
    const isNegligible = failures < REPORTED_FAILURES_MIN && readMs < REPORTED_READ_MS_MIN;
    if (running === 0 && isNegligible) return undefined;
    const endpoint = getKey(id);
    return {
      endpoint,
      running,
      urgent,
      preemptible,
      preemptibleUnreadTokens,
      unreadTokens,
      answers,
      failures,
      readTokens,
      readMs,
      pauses,
      pauseMs,
    };
  }

  function getState(id: string): LoadState {
    const known = states.get(id);
    if (known !== undefined) return known;
    const state: LoadState = {
      running: 0,
      urgent: 0,
      preemptible: 0,
      preemptibleUnreadTokens: 0,
      unreadTokens: 0,
      failuresInRow: 0,
      lastFailureMs: -Infinity,
      isUnreachable: false,
      wasReached: false,
      failures: createFailureCounts(),
      prefill: createPrefillSums(),
      pauses: createPauseSums(),
    };
    states.set(id, state);
    return state;
  }

  function recordVerdict(state: LoadState, verdict: EndpointVerdict, nowMs: number): void {
    if (verdict !== ENDPOINT_VERDICT.None) state.isUnreachable = false;
    switch (verdict) {
      case ENDPOINT_VERDICT.Good:
      case ENDPOINT_VERDICT.Resting:
      case ENDPOINT_VERDICT.Errored:
        state.failuresInRow = 0;
        state.wasReached = true;
        break;
      case ENDPOINT_VERDICT.None:
        break;
      case ENDPOINT_VERDICT.Failed:
        state.failuresInRow += 1;
        state.lastFailureMs = nowMs;
        break;
      case ENDPOINT_VERDICT.Unreachable:
        state.failuresInRow = Math.max(SUSPECT_AFTER_FAILURES, state.failuresInRow + 1);
        state.lastFailureMs = nowMs;
        break;
      default:
        assertNever(verdict);
    }
  }

  function getPool(name: string): PoolState {
    const known = pools.get(name);
    if (known !== undefined) return known;
    const pool: PoolState = {
      prefillFit: createPrefillFit(),
      readTokens: createMovingAverage(RUN_ALPHA),
      runMs: createMovingAverage(RUN_ALPHA),
      pauses: createPauseModel(),
    };
    pools.set(name, pool);
    return pool;
  }

  function getLoad(id: string): FleetLoad {
    const own = states.get(id);
    const other = remote.get(getKey(id));
    return {
      running: (own?.running ?? 0) + other.running,
      urgent: (own?.urgent ?? 0) + other.urgent,
      preemptible: (own?.preemptible ?? 0) + other.preemptible,
      preemptibleUnreadTokens: (own?.preemptibleUnreadTokens ?? 0) + other.preemptibleUnreadTokens,
      unreadTokens: (own?.unreadTokens ?? 0) + other.unreadTokens,
    };
  }

  function startCall(
    endpoint: RegisteredEndpoint,
    unreadTokens: number,
    startedMs: number,
    loadClass: LoadClass = LOAD_CLASS.Normal,
  ): LoadTicket {
    const { startId, slots } = endpoint;
    const state = getState(startId);
    const pool = getPool(endpoint.pool);
    const before = getLoad(startId);
    const aheadTokens = before.unreadTokens + unreadTokens;
    // The time of a call that queues for a slot or behind other prompts does not show the engine's
    // speed.
    const isUnqueued = before.unreadTokens === 0 && before.running < slots;
    let unread = unreadTokens;
    const stream = createStreamTimes();
    let loadAtLast = before;
    let heldMs = startedMs;
    let isEnded = false;
    const urgent = loadClass === LOAD_CLASS.Urgent ? 1 : 0;
    const preemptible = loadClass === LOAD_CLASS.Preemptible ? 1 : 0;
    state.running += 1;
    state.urgent += urgent;
    state.preemptible += preemptible;
    state.unreadTokens += unread;
    state.preemptibleUnreadTokens += unread * preemptible;

    function releaseUnread(): void {
      state.unreadTokens -= unread;
      state.preemptibleUnreadTokens -= unread * preemptible;
      unread = 0;
    }

    function recordFirstEvent(tookMs: number, nowMs: number): void {
      releaseUnread();
      if (unreadTokens === 0) return;
      pool.readTokens.add(unreadTokens);
      if (isUnqueued) pool.prefillFit.add(unreadTokens, tookMs);
      const speed = pool.prefillFit.get();
      if (speed === undefined) return;
      state.prefill.add(buildPrefillSample(aheadTokens, tookMs, speed), nowMs);
    }

    function recordPause(pauseMs: number, running: number, nowMs: number): void {
      pool.pauses.add(pauseMs, running, nowMs);
      state.pauses.add({ pauses: 1, pauseMs }, nowMs);
    }

    return {
      recordEvent(nowMs, events = 1) {
        if (stream.get().events === 0) recordFirstEvent(nowMs - startedMs, nowMs);
        const running = Math.min(slots, loadAtLast.running);
        loadAtLast = getLoad(startId);
        const pauseMs = stream.recordEvent(nowMs, loadAtLast, events);
        if (pauseMs !== undefined) recordPause(pauseMs, running, nowMs);
        const joined = Math.min(events, JOINED_EVENTS_MAX) - 1;
        for (let index = 0; index < joined; index += 1)
          recordPause(0, Math.min(slots, loadAtLast.running), nowMs);
      },
      recordHeld(isHeld, nowMs) {
        if (isHeld) heldMs = nowMs;
        else stream.recordUnread(nowMs - heldMs);
      },
      getStream: () => stream.get(),
      recordEnd(verdict, nowMs) {
        if (isEnded) return;
        isEnded = true;
        releaseUnread();
        state.running -= 1;
        state.urgent -= urgent;
        state.preemptible -= preemptible;
        recordVerdict(state, verdict, nowMs);
        if (verdict === ENDPOINT_VERDICT.None || verdict === ENDPOINT_VERDICT.Resting) return;
        if (verdict === ENDPOINT_VERDICT.Good) pool.runMs.add(nowMs - startedMs);
        const failures = verdict === ENDPOINT_VERDICT.Good ? 0 : 1;
        state.failures.add({ answers: 1, failures }, nowMs);
      },
    };
  }

  function listOwn(nowMs: number): EndpointLoadShare[] {
    return [...states]
      .map(([id, state]) => buildShare(id, state, nowMs))
      .filter((share) => share !== undefined);
  }

  return {
    get: getLoad,
    countOwn: (id) => states.get(id)?.running ?? 0,
    readSeen(id, nowMs) {
      const own = states.get(id);
      const other = remote.get(getKey(id));
      const { answers = 0, failures = 0 } = own?.failures.read(nowMs) ?? {};
      return {
        running: (own?.running ?? 0) + other.running,
        ownRunning: own?.running ?? 0,
        answers: answers + other.answers,
        failures: failures + other.failures,
        ...readPrefill(id, nowMs),
      };
    },
    listOwn,
    listFleet: (nowMs) => mergeShares([listOwn(nowMs), remote.list()]),
    remote,
    getFailureRate(id, nowMs) {
      const own = states.get(id)?.failures.read(nowMs);
      const other = remote.get(getKey(id));
      return computeFailureRate({
        answers: (own?.answers ?? 0) + other.answers,
        failures: (own?.failures ?? 0) + other.failures,
      });
    },
    getSlowdown({ startId, pool }, nowMs) {
      const speed = getPool(pool).prefillFit.get();
      return speed === undefined ? 1 : computeSlowdown(readPrefill(startId, nowMs), speed);
    },
    getPoolTiming(name) {
      const { prefillFit, readTokens, runMs, pauses } = getPool(name);
      return {
        prefillSpeed: prefillFit.get(),
        meanReadTokens: readTokens.get(0),
        meanRunMs: runMs.get(0),
        pauseMsPerCall: pauses.getMsPerCall(),
      };
    },
    predictPauseMs: (name, running, nowMs) => getPool(name).pauses.predictPauseMs(running, nowMs),
    predictEnginePauseMs({ startId, pool, slots }, running, nowMs) {
      const model = getPool(pool).pauses;
      const own = states.get(startId)?.pauses.read(nowMs);
      const other = remote.get(getKey(startId));
      return predictEnginePauseMs(
        {
          pauses: (own?.pauses ?? 0) + other.pauses,
          pauseMs: (own?.pauseMs ?? 0) + other.pauseMs,
          running: Math.min(slots, getLoad(startId).running),
          poolPauseMs: model.predictPauseMs(running, nowMs),
          msPerCall: model.getMsPerCall(),
        },
        running,
      );
    },
    isReached(id) {
      const state = states.get(id);
      return state !== undefined && state.wasReached && state.failuresInRow === 0;
    },
    isSuspect(id, nowMs, isUrgent = false) {
      const state = states.get(id);
      if (state === undefined) return false;
      if (state.isUnreachable && state.running > 0) return true;
      if (state.failuresInRow < SUSPECT_AFTER_FAILURES) return false;
      const probeAfterMs = computeProbeAfterMs(state) * (isUrgent ? URGENT_PROBE_FACTOR : 1);
      // A suspect endpoint gets one probe call at a time.
      return state.running > 0 || nowMs - state.lastFailureMs < probeAfterMs;
    },
    recordUnreachable(id) {
      const state = states.get(id);
      if (state !== undefined) state.isUnreachable = true;
    },
    recordReachable(id) {
      const state = states.get(id);
      if (state !== undefined) Object.assign(state, { isUnreachable: false, failuresInRow: 0 });
    },
    start: startCall,
    remove(id) {
      states.delete(id);
      keys.delete(id);
    },
  };
}
