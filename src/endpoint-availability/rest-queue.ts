/**
 * Calls that wait at this instance because every endpoint of their pool rests. Performs no I/O.
 *
 * The most urgent come first, then each organisation in turn, then the oldest. Calls beyond the room
 * that the endpoints have after their rest are turned away at once, so that they can return later.
 */

/** A call that was not offered again for this long has ended. */
const OFFER_TIMEOUT_MS = 200;

export interface RestingCall {
  readonly callId: string;
  readonly pool: string;
  readonly organisation: string;
  /** From 0 (most urgent) to 9. */
  readonly urgency: number;
  readonly receivedMs: number;
}

export interface RestQueue {
  /** Adds or keeps a call; false if the calls before it take all the room. */
  add(call: RestingCall, room: number, nowMs: number): boolean;
}

interface Entry {
  readonly call: RestingCall;
  offeredMs: number;
}

function compareArrival(a: RestingCall, b: RestingCall): number {
  return a.urgency - b.urgency || a.receivedMs - b.receivedMs;
}

/** Orders calls so that the organisations of each urgency take turns. */
export function listInTurn(calls: readonly RestingCall[]): RestingCall[] {
  const counts = new Map<string, number>();
  const turns = [...calls].sort(compareArrival).map((call) => {
    const key = `${call.urgency}|${call.organisation}`;
    const turn = counts.get(key) ?? 0;
    counts.set(key, turn + 1);
    return { call, turn };
  });
  return turns
    .sort(
      (a, b) =>
        a.call.urgency - b.call.urgency || a.turn - b.turn || compareArrival(a.call, b.call),
    )
    .map(({ call }) => call);
}

export function createRestQueue(): RestQueue {
  const entries = new Map<string, Entry>();
  /** Position of each call in its pool; undefined after a change. */
  let positions: Map<string, number> | undefined;

  function removeExpired(nowMs: number): void {
    for (const [callId, { offeredMs }] of entries) {
      if (nowMs - offeredMs > OFFER_TIMEOUT_MS) {
        entries.delete(callId);
        positions = undefined;
      }
    }
  }

  function buildPositions(): Map<string, number> {
    const built = new Map<string, number>();
    const countByPool = new Map<string, number>();
    for (const { callId, pool } of listInTurn([...entries.values()].map(({ call }) => call))) {
      const position = countByPool.get(pool) ?? 0;
      countByPool.set(pool, position + 1);
      built.set(callId, position);
    }
    return built;
  }

  function getPosition(callId: string): number {
    positions ??= buildPositions();
    return positions.get(callId) ?? 0;
  }

  return {
    add(call, room, nowMs) {
      removeExpired(nowMs);
      const known = entries.get(call.callId);
      if (known === undefined) {
        entries.set(call.callId, { call, offeredMs: nowMs });
        positions = undefined;
      } else known.offeredMs = nowMs;
      if (getPosition(call.callId) < room) return true;
      entries.delete(call.callId);
      positions = undefined;
      return false;
    },
  };
}
