/**
 * Requests endpoints for pools as sized, stores the requests for the next holder, and retries those
 * that were not accepted. Performs no I/O.
 */
import { z } from 'zod';
import type { ScalingLimits } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';
import { DUTY_OUTCOME } from './duty-calls.js';
import type { DutyOutcome, ScaleRequest } from './duty-calls.js';
import { DUTY_KEY, findRow } from './duty-store.js';
import type { DutyChange, DutyRow, DutyWriteResult } from './duty-store.js';
import { computeDesired, computeRequiredCount } from './pool-sizing.js';
import type { RunningCount, SizingInput } from './pool-sizing.js';

/**
 * A pool is sized once its endpoint count has been stable for this time, because a starting fleet
 * discovers endpoints one by one.
 */
const COUNT_STABLE_MS = 900;
/** Time for which a higher required count is kept after load drops, since load peaks recur. */
const SCALE_DOWN_DELAY_MS = 60_000;
/** Retry delays after an unavailable or rejected request. */
const UNAVAILABLE_RETRY_MS = 3000;
const REJECTED_RETRY_MS = 1000;
/** Endpoints missing this long after their boot time are requested again. */
const BOOT_GRACE_MS = 2000;
/** No count is lowered on information older than this. */
const KNOWLEDGE_AGE_MAX_MS = 4000;

/** Load and running endpoints of a pool. */
export interface PoolLoad {
  readonly pool: string;
  readonly scaling: ScalingLimits;
  readonly running: readonly RunningCount[];
  readonly backlogMs: number;
  readonly targetMs: number;
}

/** Input to the scaler. */
export type ScalerMessage =
  | {
      readonly kind: 'tick';
      readonly pools: readonly PoolLoad[];
      readonly knowledgeAgeMs: number;
    }
  | { readonly kind: 'read'; readonly rows: readonly DutyRow[] }
  | { readonly kind: 'changed'; readonly change: DutyChange; readonly write: DutyWriteResult }
  | { readonly kind: 'sent'; readonly request: ScaleRequest; readonly outcome: DutyOutcome }
  | { readonly kind: 'lost' };

/** Requests from the scaler to its caller. */
export type ScalerCommand =
  | { readonly kind: 'read' }
  | { readonly kind: 'change'; readonly change: DutyChange }
  | { readonly kind: 'send'; readonly request: ScaleRequest };

/** Scales all pools while this instance holds the lease. */
export interface PoolScaler {
  handle(message: ScalerMessage, nowMs: number): ScalerCommand[];
  listDesired(): ScaleRequest[];
}

const DOCUMENT_SCHEMA = z.object({
  pools: z.array(
    z.object({
      pool: z.string(),
      least: z.number(),
      desired: z.array(
        z.object({ dataCentre: z.string(), isSpot: z.boolean(), count: z.int().nonnegative() }),
      ),
    }),
  ),
});
type PoolDocument = z.infer<typeof DOCUMENT_SCHEMA>['pools'][number];

interface Target {
  readonly request: ScaleRequest;
  isAccepted: boolean;
  isInFlight: boolean;
  notBeforeMs: number;
  answeredMs: number;
}

interface PoolState {
  baseline: number | undefined;
  peakCount: number;
  peakSinceMs: number;
  /** The running count last observed, and since when. */
  lastCount: number;
  lastCountSinceMs: number;
  readonly targets: Map<string, Target>;
}

function countRunning(running: readonly RunningCount[]): number {
  return running.reduce((sum, { onDemand, spot }) => sum + onDemand + spot, 0);
}

function parseDocument(row: DutyRow | undefined): readonly PoolDocument[] {
  if (row === undefined) return [];
  try {
    return DOCUMENT_SCHEMA.safeParse(JSON.parse(row.text)).data?.pools ?? [];
  } catch {
    // A malformed document is overwritten by the next change.
    return [];
  }
}

export function createPoolScaler(): PoolScaler {
  const states = new Map<string, PoolState>();
  let version: number | undefined;
  let isReading = false;
  let pendingChange: DutyChange | undefined;
  /** Incremented with each change of a target; the pending change stores `pendingRevision`. */
  let targetsRevision = 0;
  let pendingRevision = 0;
  /** Whether the store holds the current targets. */
  let isStored = true;

  function getState(pool: string, nowMs: number): PoolState {
    const known = states.get(pool);
    if (known !== undefined) return known;
    const state: PoolState = {
      baseline: undefined,
      peakCount: 0,
      peakSinceMs: nowMs,
      lastCount: 0,
      lastCountSinceMs: nowMs,
      targets: new Map(),
    };
    states.set(pool, state);
    return state;
  }

  function setTarget(state: PoolState, request: ScaleRequest): void {
    const key = `${request.dataCentre}|${request.isSpot}`;
    if (state.targets.get(key)?.request.count === request.count) return;
    const initial = { isAccepted: false, isInFlight: false, notBeforeMs: -Infinity, answeredMs: 0 };
    state.targets.set(key, { request, ...initial });
    targetsRevision += 1;
    isStored = false;
  }

  function updatePeak(state: PoolState, requiredCount: number, nowMs: number): void {
    if (requiredCount < state.peakCount && nowMs - state.peakSinceMs < SCALE_DOWN_DELAY_MS) return;
    if (requiredCount >= state.peakCount) state.peakSinceMs = nowMs;
    state.peakCount = requiredCount;
  }

  /** Whether the endpoint count is stable; the first stable count becomes the baseline. */
  function isStable(state: PoolState, running: readonly RunningCount[], nowMs: number): boolean {
    if (state.baseline !== undefined) return true;
    const count = countRunning(running);
    if (count !== state.lastCount) {
      state.lastCount = count;
      state.lastCountSinceMs = nowMs;
    }
    if (count === 0 || nowMs - state.lastCountSinceMs < COUNT_STABLE_MS) return false;
    state.baseline = count;
    return true;
  }

  /** Requests endpoints again that were reclaimed or never started. */
  function updateAccepted(state: PoolState, { scaling, running }: PoolLoad, nowMs: number): void {
    for (const target of state.targets.values()) {
      const { dataCentre, isSpot, count } = target.request;
      const local = running.find((each) => each.dataCentre === dataCentre);
      const runningCount = (isSpot ? local?.spot : local?.onDemand) ?? 0;
      const isOverdue = nowMs - target.answeredMs > scaling.bootMs + BOOT_GRACE_MS;
      if (target.isAccepted && runningCount < count && isOverdue) target.isAccepted = false;
    }
  }

  /**
   * Drops pools that are no longer configured. An empty list means that the configuration is not
   * loaded yet.
   */
  function removeUndeclared(pools: readonly PoolLoad[]): void {
    if (pools.length === 0) return;
    const declared = new Set(pools.map(({ pool }) => pool));
    for (const pool of states.keys()) if (!declared.has(pool)) states.delete(pool);
  }

  function updatePool(load: PoolLoad, isStale: boolean, nowMs: number): void {
    const { pool, running } = load;
    const state = getState(pool, nowMs);
    if (!isStable(state, running, nowMs)) return;
    updateAccepted(state, load, nowMs);
    const input: SizingInput = { ...load, baseline: state.baseline ?? 0, peakCount: 0 };
    updatePeak(state, computeRequiredCount(input), nowMs);
    for (const desired of computeDesired({ ...input, peakCount: state.peakCount })) {
      const { dataCentre } = desired;
      const requests: ScaleRequest[] = [
        { pool, dataCentre, isSpot: false, count: desired.onDemand },
        { pool, dataCentre, isSpot: true, count: desired.spot },
      ];
      for (const request of requests) {
        const currentCount =
          state.targets.get(`${dataCentre}|${request.isSpot}`)?.request.count ?? Infinity;
        if (!isStale || request.count >= currentCount) setTarget(state, request);
      }
    }
  }

  function buildChange(): DutyChange {
    const pools: PoolDocument[] = [...states].flatMap(([pool, { baseline, targets }]) =>
      baseline === undefined
        ? []
        : [
            {
              pool,
              least: baseline,
              desired: [...targets.values()].map(({ request: { dataCentre, isSpot, count } }) => ({
                dataCentre,
                isSpot,
                count,
              })),
            },
          ],
    );
    return {
      expected: [{ key: DUTY_KEY.Orders, version: version ?? 0 }],
      writes: [{ key: DUTY_KEY.Orders, text: JSON.stringify({ pools }) }],
      removes: [],
    };
  }

  function sendDue(nowMs: number): ScalerCommand[] {
    if (!isStored) return [];
    const due = [...states.values()]
      .flatMap(({ targets }) => [...targets.values()])
      .filter(
        ({ isAccepted, isInFlight, notBeforeMs }) =>
          !isAccepted && !isInFlight && nowMs >= notBeforeMs,
      );
    for (const target of due) target.isInFlight = true;
    return due.map(({ request }) => ({ kind: 'send', request }));
  }

  function handleTick(
    { pools, knowledgeAgeMs }: Extract<ScalerMessage, { kind: 'tick' }>,
    nowMs: number,
  ): ScalerCommand[] {
    if (version === undefined) {
      for (const { pool, running } of pools) isStable(getState(pool, nowMs), running, nowMs);
      if (isReading) return [];
      isReading = true;
      return [{ kind: 'read' }];
    }
    const isStale = knowledgeAgeMs > KNOWLEDGE_AGE_MAX_MS;
    removeUndeclared(pools);
    for (const load of pools) updatePool(load, isStale, nowMs);
    if (!isStored && pendingChange === undefined) {
      pendingChange = buildChange();
      pendingRevision = targetsRevision;
      return [{ kind: 'change', change: pendingChange }];
    }
    return sendDue(nowMs);
  }

  /**
   * Restores the targets of the previous holder, all to be requested again since their outcome is
   * unknown.
   */
  function handleRead(rows: readonly DutyRow[], nowMs: number): void {
    isReading = false;
    const row = findRow(rows, DUTY_KEY.Orders);
    version = row?.version ?? 0;
    for (const { pool, least: baseline, desired } of parseDocument(row)) {
      const state = getState(pool, nowMs);
      state.baseline = baseline;
      for (const each of desired) setTarget(state, { pool, ...each });
    }
    isStored = true;
  }

  /** Ignores results of changes made in an earlier term as holder. */
  function handleChanged(
    { change, write }: Extract<ScalerMessage, { kind: 'changed' }>,
    nowMs: number,
  ): ScalerCommand[] {
    if (pendingChange !== change) return [];
    pendingChange = undefined;
    switch (write.kind) {
      case 'written':
        version = write.version;
        isStored = pendingRevision === targetsRevision;
        return sendDue(nowMs);
      case 'conflict':
      case 'lost':
        version = undefined;
        return [];
      default:
        return assertNever(write);
    }
  }

  function handleSent(request: ScaleRequest, outcome: DutyOutcome, nowMs: number): void {
    const key = `${request.dataCentre}|${request.isSpot}`;
    const target = states.get(request.pool)?.targets.get(key);
    if (target === undefined || target.request !== request) return;
    target.isInFlight = false;
    target.isAccepted = outcome === DUTY_OUTCOME.Done;
    target.answeredMs = nowMs;
    const isUnavailable = outcome === DUTY_OUTCOME.Unavailable;
    target.notBeforeMs = nowMs + (isUnavailable ? UNAVAILABLE_RETRY_MS : REJECTED_RETRY_MS);
  }

  return {
    handle(message, nowMs) {
      switch (message.kind) {
        case 'tick':
          return handleTick(message, nowMs);
        case 'read':
          handleRead(message.rows, nowMs);
          return sendDue(nowMs);
        case 'changed':
          return handleChanged(message, nowMs);
        case 'sent':
          handleSent(message.request, message.outcome, nowMs);
          return [];
        case 'lost':
          states.clear();
          version = undefined;
          isReading = false;
          pendingChange = undefined;
          isStored = true;
          return [];
        default:
          return assertNever(message);
      }
    },
    listDesired: () =>
      [...states.values()].flatMap(({ targets }) =>
        [...targets.values()].map(({ request }) => request),
      ),
  };
}
