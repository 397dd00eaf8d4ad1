/**
 * Orders endpoints of pools as the sizing says, keeps what was ordered where the next holder finds it, and
 * repeats what was not taken. Free of I/O.
 */
import { z } from 'zod';
import type { ScalingBounds } from '../types/traffic.js';
import { assertNever } from '../utils/assert-never.js';
import { DUTY_OUTCOME } from './duty-calls.js';
import type { DutyOutcome, PoolOrder } from './duty-calls.js';
import { DUTY_KEY, findRow } from './duty-store.js';
import type { DutyChange, DutyRow, DutyWrite } from './duty-store.js';
import { computeDesired, computeNeed } from './pool-sizing.js';
import type { PoolPresence, SizingInput } from './pool-sizing.js';

/** A pool is not ordered for before its endpoints have been the same for this long, in milliseconds: a fleet that starts hears of them one after the other. */
const SETTLED_MS = 900;
/** A need that is over is kept for this long, in milliseconds: crowds come again. */
const HELD_MS = 60_000;
/** Room that is not to be had is asked for again after this long, in milliseconds, and a call that was turned away after the shorter time. */
const UNAVAILABLE_MS = 3000;
const REJECTED_MS = 1000;
/** An endpoint that is not there this long after it should serve is ordered again, in milliseconds. */
const OVERDUE_MS = 2000;
/** Knowledge older than this, in milliseconds, orders nothing down. */
const KNOWLEDGE_AGE_MAX_MS = 4000;

/** A pool as the holder sees it. */
export interface SizedPool {
  readonly pool: string;
  readonly scaling: ScalingBounds;
  readonly present: readonly PoolPresence[];
  readonly backlogMs: number;
  readonly targetMs: number;
}

/** What orders are told. */
export type OrdersMessage =
  | {
      readonly kind: 'tick';
      readonly pools: readonly SizedPool[];
      readonly knowledgeAgeMs: number;
    }
  | { readonly kind: 'read'; readonly rows: readonly DutyRow[] }
  | { readonly kind: 'changed'; readonly change: DutyChange; readonly write: DutyWrite }
  | { readonly kind: 'sent'; readonly order: PoolOrder; readonly outcome: DutyOutcome }
  | { readonly kind: 'lost' };

/** What orders ask for. */
export type OrdersCommand =
  | { readonly kind: 'read' }
  | { readonly kind: 'change'; readonly change: DutyChange }
  | { readonly kind: 'send'; readonly order: PoolOrder };

/** The orders of one holder. */
export interface PoolOrders {
  handle(message: OrdersMessage, nowMs: number): OrdersCommand[];
  /** What is to be there. */
  listDesired(): PoolOrder[];
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

interface Wanted {
  readonly order: PoolOrder;
  isTaken: boolean;
  isUnderWay: boolean;
  notBeforeMs: number;
  takenMs: number;
}

interface PoolState {
  least: number | undefined;
  held: number;
  heldSinceMs: number;
  /** How many there were, and since when. */
  seen: number;
  seenSinceMs: number;
  readonly wanted: Map<string, Wanted>;
}

function countPresent(present: readonly PoolPresence[]): number {
  return present.reduce((sum, { lasting, spot }) => sum + lasting + spot, 0);
}

function parseDocument(row: DutyRow | undefined): readonly PoolDocument[] {
  if (row === undefined) return [];
  try {
    return DOCUMENT_SCHEMA.safeParse(JSON.parse(row.text)).data?.pools ?? [];
  } catch {
    // A document of another writer is replaced by the first order.
    return [];
  }
}

/** Builds orders that have read nothing. */
export function createPoolOrders(): PoolOrders {
  const states = new Map<string, PoolState>();
  let version: number | undefined;
  let isReading = false;
  let underWay: DutyChange | undefined;
  /** Changes of what is wanted, and those that the change under way keeps. */
  let changes = 0;
  let changing = 0;
  /** Whether what is wanted stands in the store. */
  let isKept = true;

  function getState(pool: string, nowMs: number): PoolState {
    const known = states.get(pool);
    if (known !== undefined) return known;
    const state: PoolState = {
      least: undefined,
      held: 0,
      heldSinceMs: nowMs,
      seen: 0,
      seenSinceMs: nowMs,
      wanted: new Map(),
    };
    states.set(pool, state);
    return state;
  }

  function setWanted(state: PoolState, order: PoolOrder): void {
    const key = `${order.dataCentre}|${order.isSpot}`;
    if (state.wanted.get(key)?.order.count === order.count) return;
    const untried = { isTaken: false, isUnderWay: false, notBeforeMs: -Infinity, takenMs: 0 };
    state.wanted.set(key, { order, ...untried });
    changes += 1;
    isKept = false;
  }

  function updateHeld(state: PoolState, need: number, nowMs: number): void {
    if (need < state.held && nowMs - state.heldSinceMs < HELD_MS) return;
    if (need >= state.held) state.heldSinceMs = nowMs;
    state.held = need;
  }

  /** Whether the pool's endpoints are known well enough; the first that are make the least. */
  function isSettled(state: PoolState, present: readonly PoolPresence[], nowMs: number): boolean {
    if (state.least !== undefined) return true;
    const count = countPresent(present);
    if (count !== state.seen) {
      state.seen = count;
      state.seenSinceMs = nowMs;
    }
    if (count === 0 || nowMs - state.seenSinceMs < SETTLED_MS) return false;
    state.least = count;
    return true;
  }

  /** What was taken back, or never came, is asked for again once it should be there. */
  function updateTaken(state: PoolState, { scaling, present }: SizedPool, nowMs: number): void {
    for (const wanted of state.wanted.values()) {
      const { dataCentre, isSpot, count } = wanted.order;
      const there = present.find((each) => each.dataCentre === dataCentre);
      const open = (isSpot ? there?.spot : there?.lasting) ?? 0;
      const isOverdue = nowMs - wanted.takenMs > scaling.bootMs + OVERDUE_MS;
      if (wanted.isTaken && open < count && isOverdue) wanted.isTaken = false;
    }
  }

  /** An instance that knows no pool at all has not read the configuration yet. */
  function removeUndeclared(pools: readonly SizedPool[]): void {
    if (pools.length === 0) return;
    const declared = new Set(pools.map(({ pool }) => pool));
    for (const pool of states.keys()) if (!declared.has(pool)) states.delete(pool);
  }

  function updatePool(sized: SizedPool, isStale: boolean, nowMs: number): void {
    const { pool, present } = sized;
    const state = getState(pool, nowMs);
    if (!isSettled(state, present, nowMs)) return;
    updateTaken(state, sized, nowMs);
    const input: SizingInput = { ...sized, least: state.least ?? 0, held: 0 };
    updateHeld(state, computeNeed(input), nowMs);
    for (const desired of computeDesired({ ...input, held: state.held })) {
      const { dataCentre } = desired;
      const orders: PoolOrder[] = [
        { pool, dataCentre, isSpot: false, count: desired.lasting },
        { pool, dataCentre, isSpot: true, count: desired.spot },
      ];
      for (const order of orders) {
        const before = state.wanted.get(`${dataCentre}|${order.isSpot}`)?.order.count ?? Infinity;
        if (!isStale || order.count >= before) setWanted(state, order);
      }
    }
  }

  function buildChange(): DutyChange {
    const pools: PoolDocument[] = [...states].flatMap(([pool, { least, wanted }]) =>
      least === undefined
        ? []
        : [
            {
              pool,
              least,
              desired: [...wanted.values()].map(({ order: { dataCentre, isSpot, count } }) => ({
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

  function sendDue(nowMs: number): OrdersCommand[] {
    if (!isKept) return [];
    const due = [...states.values()]
      .flatMap(({ wanted }) => [...wanted.values()])
      .filter(
        ({ isTaken, isUnderWay, notBeforeMs }) => !isTaken && !isUnderWay && nowMs >= notBeforeMs,
      );
    for (const wanted of due) wanted.isUnderWay = true;
    return due.map(({ order }) => ({ kind: 'send', order }));
  }

  function handleTick(
    { pools, knowledgeAgeMs }: Extract<OrdersMessage, { kind: 'tick' }>,
    nowMs: number,
  ): OrdersCommand[] {
    if (version === undefined) {
      for (const { pool, present } of pools) isSettled(getState(pool, nowMs), present, nowMs);
      if (isReading) return [];
      isReading = true;
      return [{ kind: 'read' }];
    }
    const isStale = knowledgeAgeMs > KNOWLEDGE_AGE_MAX_MS;
    removeUndeclared(pools);
    for (const sized of pools) updatePool(sized, isStale, nowMs);
    if (!isKept && underWay === undefined) {
      underWay = buildChange();
      changing = changes;
      return [{ kind: 'change', change: underWay }];
    }
    return sendDue(nowMs);
  }

  /** What stands in the store was wanted by a holder before; whether it was taken nobody knows. */
  function handleRead(rows: readonly DutyRow[], nowMs: number): void {
    isReading = false;
    const row = findRow(rows, DUTY_KEY.Orders);
    version = row?.version ?? 0;
    for (const { pool, least, desired } of parseDocument(row)) {
      const state = getState(pool, nowMs);
      state.least = least;
      for (const each of desired) setWanted(state, { pool, ...each });
    }
    isKept = true;
  }

  /** An answer to a change of an earlier time as holder says nothing of the one under way. */
  function handleChanged(
    { change, write }: Extract<OrdersMessage, { kind: 'changed' }>,
    nowMs: number,
  ): OrdersCommand[] {
    if (underWay !== change) return [];
    underWay = undefined;
    switch (write.kind) {
      case 'written':
        version = write.version;
        isKept = changing === changes;
        return sendDue(nowMs);
      case 'conflict':
      case 'lost':
        version = undefined;
        return [];
      default:
        return assertNever(write);
    }
  }

  function handleSent(order: PoolOrder, outcome: DutyOutcome, nowMs: number): void {
    const key = `${order.dataCentre}|${order.isSpot}`;
    const wanted = states.get(order.pool)?.wanted.get(key);
    if (wanted === undefined || wanted.order !== order) return;
    wanted.isUnderWay = false;
    wanted.isTaken = outcome === DUTY_OUTCOME.Done;
    wanted.takenMs = nowMs;
    const isUnavailable = outcome === DUTY_OUTCOME.Unavailable;
    wanted.notBeforeMs = nowMs + (isUnavailable ? UNAVAILABLE_MS : REJECTED_MS);
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
          handleSent(message.order, message.outcome, nowMs);
          return [];
        case 'lost':
          states.clear();
          version = undefined;
          isReading = false;
          underWay = undefined;
          isKept = true;
          return [];
        default:
          return assertNever(message);
      }
    },
    listDesired: () =>
      [...states.values()].flatMap(({ wanted }) => [...wanted.values()].map(({ order }) => order)),
  };
}
