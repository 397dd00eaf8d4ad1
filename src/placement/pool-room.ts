/**
 * Tells whether a pool has room for its least urgent calls. Performs no I/O.
 *
 * Guards against long calls that begin right before the pool is too small for the more urgent ones: the
 * calls of endpoints that leave are followed by others, which go to the endpoints that stay.
 */
import type { RegisteredEndpoint } from '../types/traffic.js';
import { createDecayingSums } from '../utils/decaying-sums.js';
import type { DecayingSums } from '../utils/decaying-sums.js';
import type { EndpointLoads } from './endpoint-loads.js';

/**
 * Share of the slots of the endpoints that stay from which more urgent calls leave no room. Well below all of
 * them, since streams take longer, and so overlap more, the fewer engines there are.
 */
const URGENT_SLOT_SHARE_MAX = 0.6;
/** The same share from which room is scarce. */
const URGENT_SLOT_SHARE_SCARCE = 0.3;
const UPDATE_PERIOD_MS = 100;
/** Share of the more urgent calls of this instance that may be refused before the least urgent ones wait. */
const REFUSED_SHARE_MAX = 0.04;
/** Half-life of a call that was sent or refused. */
const OUTCOME_HALF_LIFE_MS = 3000;
/** Half-life of the peak of more urgent calls: callers come in bursts, between which engines seem idle. */
const PEAK_HALF_LIFE_MS = 10_000;
/** Time for which a pool must have been watched to know that peak; until then, the shares are smaller. */
const WATCH_MS = 5000;
const UNWATCHED_FACTOR = 0.5;
/** Time after the loss of slots for which the pool is expected to lose one more endpoint. */
const SHRINKING_MS = 10_000;

/** What more urgent calls leave to the least urgent ones. */
export const POOL_ROOM = {
  Ample: 'ample',
  /** Each call that is sent is felt by the others. */
  Scarce: 'scarce',
  None: 'none',
} as const;
export type PoolRoom = (typeof POOL_ROOM)[keyof typeof POOL_ROOM];

export interface PoolRoomsOptions {
  readonly loads: Pick<EndpointLoads, 'get'>;
  /** Endpoints of a pool that run calls, including those that are leaving. */
  readonly listServing: (pool: string) => readonly RegisteredEndpoint[];
  /** Whether the loads that other instances put on the endpoints are known. */
  readonly knowsFleetLoad: () => boolean;
}

/** On what the room of a pool was decided. */
export interface RoomReading {
  readonly room: PoolRoom;
  /** Decaying peak of the more urgent calls. */
  readonly peak: number;
  /** Slots of the endpoints that stay. */
  readonly slots: number;
}

export interface PoolRooms {
  /** What the more urgent calls of all instances leave to the least urgent ones. */
  get(pool: string, nowMs: number): PoolRoom;
  /** The same as it was last decided, with what it was decided on. */
  read(pool: string): RoomReading;
  /** Records that a more urgent call was sent, or refused since no engine had room. */
  recordMoreUrgent(pool: string, isRefused: boolean, nowMs: number): void;
}

interface Outcomes {
  readonly decided: number;
  readonly refused: number;
}

interface PoolState {
  room: PoolRoom;
  updatedMs: number;
  /** When the loads of the pool were first known. */
  watchedSinceMs: number;
  /** Decaying peak of the more urgent calls. */
  peak: number;
  /** Slots of the endpoints that stay, and their number before the pool began to shrink. */
  slots: number;
  slotsBefore: number;
  shrankMs: number;
  /** Recent more urgent calls of this instance. */
  readonly outcomes: DecayingSums<keyof Outcomes>;
}

/**
 * Whether more urgent calls are refused. Guards against large calls that begin between two refusals, when a few
 * slots become free for a moment.
 */
function isRefusing({ outcomes }: PoolState, nowMs: number): boolean {
  const { decided, refused } = outcomes.read(nowMs);
  return refused > decided * REFUSED_SHARE_MAX;
}

/** Slots that are left if the largest endpoint leaves next; all of them if there is only one. */
function computeSlotsLeft(staying: readonly RegisteredEndpoint[], slots: number): number {
  if (staying.length <= 1) return slots;
  return slots - Math.max(...staying.map((endpoint) => endpoint.slots));
}

function recordSlots(state: PoolState, slots: number, nowMs: number): void {
  if (slots < state.slots) state.shrankMs = nowMs;
  const isGrown = slots >= state.slotsBefore;
  if (isGrown || nowMs - state.shrankMs >= SHRINKING_MS) state.slotsBefore = slots;
  state.slots = slots;
}

function recordPeak(state: PoolState, moreUrgent: number, nowMs: number): void {
  if (state.watchedSinceMs === Infinity) state.watchedSinceMs = nowMs;
  const sinceMs = nowMs - state.updatedMs;
  const decayed = Number.isFinite(sinceMs) ? state.peak * 0.5 ** (sinceMs / PEAK_HALF_LIFE_MS) : 0;
  state.peak = Math.max(moreUrgent, decayed);
}

function computeRoom(moreUrgent: number, slots: number): PoolRoom {
  if (moreUrgent > slots * URGENT_SLOT_SHARE_MAX) return POOL_ROOM.None;
  return moreUrgent > slots * URGENT_SLOT_SHARE_SCARCE ? POOL_ROOM.Scarce : POOL_ROOM.Ample;
}

export function createPoolRooms(options: PoolRoomsOptions): PoolRooms {
  const { loads } = options;
  const states = new Map<string, PoolState>();

  function getState(pool: string): PoolState {
    const known = states.get(pool);
    if (known !== undefined) return known;
    const state: PoolState = {
      room: POOL_ROOM.Ample,
      updatedMs: -Infinity,
      watchedSinceMs: Infinity,
      peak: 0,
      slots: 0,
      slotsBefore: 0,
      shrankMs: -Infinity,
      outcomes: createDecayingSums(['decided', 'refused'], OUTCOME_HALF_LIFE_MS),
    };
    states.set(pool, state);
    return state;
  }

  /** More urgent calls at all endpoints; those at leaving ones are followed by calls to the others. */
  function countMoreUrgent(serving: readonly RegisteredEndpoint[]): number {
    return serving.reduce((sum, { startId }) => {
      const { running, preemptible } = loads.get(startId);
      return sum + running - preemptible;
    }, 0);
  }

  function computePoolRoom(state: PoolState, pool: string, nowMs: number): PoolRoom {
    if (!options.knowsFleetLoad()) return POOL_ROOM.None;
    const serving = options.listServing(pool);
    const staying = serving.filter(({ isLeaving }) => !isLeaving);
    const slots = staying.reduce((sum, endpoint) => sum + endpoint.slots, 0);
    recordSlots(state, slots, nowMs);
    recordPeak(state, countMoreUrgent(serving), nowMs);
    if (isRefusing(state, nowMs)) return POOL_ROOM.None;
    const isShrinking = state.slots < state.slotsBefore;
    const isWatched = nowMs - state.watchedSinceMs >= WATCH_MS;
    const slotsExpected = isShrinking ? computeSlotsLeft(staying, slots) : slots;
    return computeRoom(state.peak, slotsExpected * (isWatched ? 1 : UNWATCHED_FACTOR));
  }

  function update(state: PoolState, pool: string, nowMs: number): void {
    state.room = computePoolRoom(state, pool, nowMs);
    state.updatedMs = nowMs;
  }

  return {
    get(pool, nowMs) {
      const state = getState(pool);
      if (nowMs - state.updatedMs >= UPDATE_PERIOD_MS) update(state, pool, nowMs);
      return state.room;
    },
    read(pool) {
      const { room, peak, slots } = getState(pool);
      return { room, peak, slots };
    },
    recordMoreUrgent(pool, isRefused, nowMs) {
      getState(pool).outcomes.add({ decided: 1, refused: isRefused ? 1 : 0 }, nowMs);
    },
  };
}
