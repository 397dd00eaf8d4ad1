/**
 * Endpoints of a shard: slots in use, step times (time per token) and failures as instances observe
 * them. Selects endpoints for tickets. Load reports are not used for selection, since they lag behind
 * grants.
 */
import { REST_MAX_MS } from '../endpoint-availability/availability-notice.js';
import type { EndpointDeclaration } from '../types/declarations.js';
import { createMovingAverage } from '../utils/moving-average.js';
import type { MovingAverage } from '../utils/moving-average.js';
import type { Random } from '../utils/random.js';

const STEP_ALPHA = 0.2;
const STEP_SAMPLES_MIN = 4;
/** Step time of a straggler, relative to the median. */
const STRAGGLER_FACTOR = 3;
/** Lower than `STRAGGLER_FACTOR`, so that endpoints do not oscillate. */
const STRAGGLER_RECOVERY_FACTOR = 1.8;
const CONSECUTIVE_FAILURES_TO_EJECT = 2;
const EJECTION_BASE_MS = 1000;
const EJECTION_MAX_MS = 30_000;
/** Time in which the slots of a new endpoint grow to the declared number. */
const SLOW_START_MS = 2000;
/** An endpoint with a cached prefix is preferred up to this multiple of the best score. */
const PREFIX_SCORE_TOLERANCE = 1.5;
/** Consecutive failed probes after which an endpoint is unreachable. */
const FAILED_PROBES_MAX = 2;
/** Share of a shard that may be ejected at the same time. */
const EJECTED_SHARE_MAX = 0.5;

export const ENDPOINT_STATUS = {
  Ready: 'ready',
  Straggler: 'straggler',
  Failing: 'failing',
  /** It asked for rest and gets no requests until that is over. */
  Resting: 'resting',
  Leaving: 'leaving',
  Unreachable: 'unreachable',
} as const;
export type EndpointStatus = (typeof ENDPOINT_STATUS)[keyof typeof ENDPOINT_STATUS];

/** Endpoint status for operators. */
export interface EndpointView {
  readonly name: string;
  readonly status: EndpointStatus;
  readonly held: number;
  readonly slots: number;
  readonly stepMs: number;
}

/** Criteria for selecting an endpoint. */
export interface EndpointCriteria {
  readonly organisation: string;
  readonly prefixHash: number;
  readonly excludedEndpoints: readonly string[];
}

interface EndpointState {
  declaration: EndpointDeclaration;
  held: number;
  isLeaving: boolean;
  /** Consecutive failed probes. */
  failedProbes: number;
  status: EndpointStatus;
  step: MovingAverage;
  failures: number;
  ejections: number;
  ejectedUntilMs: number;
  /** End of the rest that it asked for; -Infinity if none. */
  restUntilMs: number;
  /** Start of slow start; -Infinity for endpoints of the initial configuration. */
  slowStartedMs: number;
}

/** The endpoints of one shard. */
export interface EndpointTable {
  /** Replaces the declared endpoints, keeping the state of those that remain. */
  set(endpoints: readonly EndpointDeclaration[], nowMs: number): void;
  /** Selects the better of two random endpoints with a free slot; prefers `cached` if it is close. */
  choose(criteria: EndpointCriteria, cached: string | undefined, nowMs: number): string | undefined;
  take(endpoint: string): void;
  release(endpoint: string): void;
  recordStep(endpoint: string, stepMs: number, nowMs: number): void;
  recordSuccess(endpoint: string): void;
  recordFailure(endpoint: string, nowMs: number): void;
  setLeaving(endpoint: string, isLeaving: boolean): void;
  /** Records that the endpoint wants no requests for this time. */
  recordRest(endpoint: string, restMs: number, nowMs: number): void;
  /** Time until the first endpoint ends its rest; 0 if one takes requests, or none rests. */
  computeRestLeft(nowMs: number): number;
  /** Records the result of a health probe. */
  recordProbe(endpoint: string, isReachable: boolean): void;
  /** Endpoints in these data centres count as unreachable until a probe succeeds. */
  setPartitioned(dataCentres: ReadonlySet<string>): void;
  countFreeSlots(nowMs: number): number;
  countSlots(): number;
  list(nowMs: number): EndpointView[];
}

export function createEndpointTable(random: Random): EndpointTable {
  const states = new Map<string, EndpointState>();
  let isInitial = true;
  let partitioned: ReadonlySet<string> = new Set();

  function computeMedianStep(): number {
    const steps = [...states.values()]
      .filter((state) => state.step.count() > 0)
      .map((state) => state.step.get(0))
      .sort((a, b) => a - b);
    // The lower median, so that of two endpoints the faster one is the reference.
    return steps[Math.floor((steps.length - 1) / 2)] ?? 0;
  }

  function isEjected(state: EndpointState): boolean {
    return state.status === ENDPOINT_STATUS.Straggler || state.status === ENDPOINT_STATUS.Failing;
  }

  function isEjectionAllowed(): boolean {
    const ejected = [...states.values()].filter(isEjected).length;
    return ejected + 1 <= states.size * EJECTED_SHARE_MAX;
  }

  /**
   * Guards against requests that time out at endpoints behind a network partition. Not limited by
   * `EJECTED_SHARE_MAX`.
   */
  function isUnreachable(state: EndpointState): boolean {
    const isPartitioned = partitioned.has(state.declaration.dataCentre);
    return state.failedProbes >= (isPartitioned ? 1 : FAILED_PROBES_MAX);
  }

  function computeSlotLimit(state: EndpointState, nowMs: number): number {
    if (state.isLeaving || isUnreachable(state) || nowMs < state.restUntilMs) return 0;
    if (state.status === ENDPOINT_STATUS.Straggler) return 1;
    if (state.status === ENDPOINT_STATUS.Failing) return nowMs >= state.ejectedUntilMs ? 1 : 0;
    const ramp = Math.min(1, (nowMs - state.slowStartedMs) / SLOW_START_MS);
    return Math.max(1, Math.ceil(state.declaration.slots * ramp));
  }

  function getStatus(state: EndpointState, nowMs: number): EndpointStatus {
    if (state.isLeaving) return ENDPOINT_STATUS.Leaving;
    if (isUnreachable(state)) return ENDPOINT_STATUS.Unreachable;
    return nowMs < state.restUntilMs ? ENDPOINT_STATUS.Resting : state.status;
  }

  function computeScore(state: EndpointState, medianStep: number): number {
    const load = (state.held + 1) / state.declaration.slots;
    return state.step.get(medianStep || 1) * (1 + load);
  }

  function listAvailable(excluded: readonly string[], nowMs: number): EndpointState[] {
    const free: EndpointState[] = [];
    for (const state of states.values()) {
      const isFree = state.held < computeSlotLimit(state, nowMs);
      if (isFree && !excluded.includes(state.declaration.name)) free.push(state);
    }
    return free;
  }

  function updateStragglers(nowMs: number): void {
    const median = computeMedianStep();
    if (median === 0) return;
    for (const state of states.values()) {
      const ratio = state.step.get(median) / median;
      const hasEnoughSamples = state.step.count() >= STEP_SAMPLES_MIN;
      if (state.status === ENDPOINT_STATUS.Straggler && ratio < STRAGGLER_RECOVERY_FACTOR) {
        state.status = ENDPOINT_STATUS.Ready;
        state.slowStartedMs = nowMs;
      } else if (
        state.status === ENDPOINT_STATUS.Ready &&
        hasEnoughSamples &&
        ratio > STRAGGLER_FACTOR &&
        isEjectionAllowed()
      ) {
        state.status = ENDPOINT_STATUS.Straggler;
      }
    }
  }

  return {
    set(endpoints, nowMs) {
      const names = new Set(endpoints.map((endpoint) => endpoint.name));
      for (const name of states.keys()) if (!names.has(name)) states.delete(name);
      for (const declaration of endpoints) {
        const known = states.get(declaration.name);
        if (known !== undefined) {
          known.declaration = declaration;
        } else {
          states.set(declaration.name, {
            declaration,
            held: 0,
            isLeaving: false,
            failedProbes: 0,
            status: ENDPOINT_STATUS.Ready,
            step: createMovingAverage(STEP_ALPHA),
            failures: 0,
            ejections: 0,
            ejectedUntilMs: 0,
            restUntilMs: -Infinity,
            slowStartedMs: isInitial ? -Infinity : nowMs,
          });
        }
      }
      isInitial = false;
    },
    choose(criteria, cached, nowMs) {
      let available = listAvailable(criteria.excludedEndpoints, nowMs);
      if (available.length === 0) available = listAvailable([], nowMs);
      const first = available[random.nextIndex(available.length)];
      const second = available[random.nextIndex(available.length)];
      if (first === undefined || second === undefined) return undefined;
      const median = computeMedianStep();
      const best = computeScore(first, median) <= computeScore(second, median) ? first : second;
      const warm = available.find((state) => state.declaration.name === cached);
      if (warm === undefined) return best.declaration.name;
      const isWarmPreferred =
        computeScore(warm, median) <= computeScore(best, median) * PREFIX_SCORE_TOLERANCE;
      return (isWarmPreferred ? warm : best).declaration.name;
    },
    take(endpoint) {
      const state = states.get(endpoint);
      if (state !== undefined) state.held += 1;
    },
    release(endpoint) {
      const state = states.get(endpoint);
      if (state !== undefined) state.held = Math.max(0, state.held - 1);
    },
    recordStep(endpoint, stepMs, nowMs) {
      const state = states.get(endpoint);
      if (state === undefined || !(stepMs > 0)) return;
      state.step.add(stepMs);
      updateStragglers(nowMs);
    },
    recordSuccess(endpoint) {
      const state = states.get(endpoint);
      if (state === undefined) return;
      state.failures = 0;
      if (state.status !== ENDPOINT_STATUS.Failing) return;
      state.status = ENDPOINT_STATUS.Ready;
      state.ejections = 0;
    },
    recordFailure(endpoint, nowMs) {
      const state = states.get(endpoint);
      if (state === undefined) return;
      state.failures += 1;
      const isProbeFailed = state.status === ENDPOINT_STATUS.Failing;
      const isDue = state.failures >= CONSECUTIVE_FAILURES_TO_EJECT && isEjectionAllowed();
      if (!isProbeFailed && !isDue) return;
      state.status = ENDPOINT_STATUS.Failing;
      state.ejectedUntilMs =
        nowMs + Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * 2 ** state.ejections);
      state.ejections += 1;
    },
    setLeaving(endpoint, isLeaving) {
      const state = states.get(endpoint);
      if (state !== undefined) state.isLeaving = isLeaving;
    },
    recordRest(endpoint, restMs, nowMs) {
      const state = states.get(endpoint);
      const untilMs = nowMs + Math.min(REST_MAX_MS, restMs);
      if (state === undefined || untilMs <= state.restUntilMs) return;
      state.restUntilMs = untilMs;
      // Guards against all waiting requests at once at the end of the rest.
      state.slowStartedMs = untilMs;
    },
    computeRestLeft(nowMs) {
      const present = [...states.values()].filter(
        (state) => !state.isLeaving && !isUnreachable(state),
      );
      if (present.length === 0) return 0;
      return Math.max(0, Math.min(...present.map(({ restUntilMs }) => restUntilMs - nowMs)));
    },
    recordProbe(endpoint, isReachable) {
      const state = states.get(endpoint);
      if (state !== undefined) state.failedProbes = isReachable ? 0 : state.failedProbes + 1;
    },
    setPartitioned(dataCentres) {
      for (const state of states.values()) {
        const { dataCentre } = state.declaration;
        const isNewlyPartitioned = dataCentres.has(dataCentre) && !partitioned.has(dataCentre);
        if (isNewlyPartitioned) state.failedProbes = Math.max(1, state.failedProbes);
      }
      partitioned = dataCentres;
    },
    countFreeSlots(nowMs) {
      let freeSlots = 0;
      for (const state of states.values()) {
        freeSlots += Math.max(0, computeSlotLimit(state, nowMs) - state.held);
      }
      return freeSlots;
    },
    countSlots() {
      let slots = 0;
      for (const state of states.values()) {
        if (!state.isLeaving && !isUnreachable(state)) slots += state.declaration.slots;
      }
      return slots;
    },
    list: (nowMs) =>
      [...states.values()].map((state) => ({
        name: state.declaration.name,
        status: getStatus(state, nowMs),
        held: state.held,
        slots: state.declaration.slots,
        stepMs: state.step.get(0),
      })),
  };
}
