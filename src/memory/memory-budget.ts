/**
 * Shares the memory for bodies of requests and of responses that are read or held between
 * organisations. Performs no I/O.
 *
 * Guards against one organisation whose bodies take the whole memory of the process, which is then
 * killed with the calls of all others.
 */

/** Largest body that may use the reserve. */
export const SMALL_BODY_BYTES = 64 * 1024;
/** What a body costs beside its bytes: the objects that it is read with. */
export const ITEM_BYTES = 1024;
/** Share of the total that is left to small bodies. */
const RESERVE_SHARE = 0.15;
/** Share of the rest, and of the reserve, that one organisation may use. */
const OWNER_SHARE_MAX = 0.75;

/** Memory taken for one body. */
export interface MemoryTicket {
  /** Takes more for the same body; false if there is no room. */
  grow(bytes: number): boolean;
  /** Gives all back; does nothing the second time. */
  release(): void;
}

export interface MemoryBudget {
  /** Takes memory for a body on behalf of an organisation; undefined if there is no room. */
  take(owner: string, bytes: number): MemoryTicket | undefined;
  /** Bytes that are taken. */
  getUsed(): number;
  /** `onReleased` is called whenever memory was given back. */
  subscribe(onReleased: () => void): void;
}

interface Pool {
  readonly maxBytes: number;
  readonly usedByOwner: Map<string, number>;
  used: number;
}

function createPool(maxBytes: number): Pool {
  return { maxBytes, usedByOwner: new Map(), used: 0 };
}

function takeFrom(pool: Pool, owner: string, bytes: number): boolean {
  const owned = (pool.usedByOwner.get(owner) ?? 0) + bytes;
  const hasRoom = pool.used + bytes <= pool.maxBytes && owned <= pool.maxBytes * OWNER_SHARE_MAX;
  if (!hasRoom) return false;
  pool.used += bytes;
  pool.usedByOwner.set(owner, owned);
  return true;
}

function releaseTo(pool: Pool, owner: string, bytes: number): void {
  pool.used -= bytes;
  const owned = (pool.usedByOwner.get(owner) ?? 0) - bytes;
  if (owned > 0) pool.usedByOwner.set(owner, owned);
  else pool.usedByOwner.delete(owner);
}

/** `totalBytes`: memory for all bodies that a process holds. */
export function createMemoryBudget(totalBytes: number): MemoryBudget {
  const reserve = createPool(totalBytes * RESERVE_SHARE);
  const rest = createPool(totalBytes * (1 - RESERVE_SHARE));
  const listeners: (() => void)[] = [];

  function choosePool(bytes: number): Pool {
    return bytes <= SMALL_BODY_BYTES + ITEM_BYTES ? reserve : rest;
  }

  return {
    take(owner, bytes) {
      let taken = bytes + ITEM_BYTES;
      let pool = choosePool(taken);
      let isReleased = false;
      if (!takeFrom(pool, owner, taken)) return undefined;
      return {
        grow(more) {
          if (isReleased) return false;
          const next = choosePool(taken + more);
          const needed = next === pool ? more : taken + more;
          if (!takeFrom(next, owner, needed)) return false;
          if (next !== pool) releaseTo(pool, owner, taken);
          pool = next;
          taken += more;
          return true;
        },
        release() {
          if (isReleased) return;
          isReleased = true;
          releaseTo(pool, owner, taken);
          for (const onReleased of listeners) onReleased();
        },
      };
    },
    getUsed: () => reserve.used + rest.used,
    subscribe: (onReleased) => listeners.push(onReleased),
  };
}
