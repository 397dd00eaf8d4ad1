/**
 * Shares the memory for request bodies that are read or held between organisations. Performs no I/O.
 *
 * Guards against one organisation whose bodies take the whole memory of the process, which is then
 * killed with the calls of all others.
 */

/** Largest body that may use the reserve. */
const SMALL_BODY_BYTES = 64 * 1024;
/** Share of the total that is left to small bodies. */
const RESERVE_SHARE = 0.15;
/** Share of the rest, and of the reserve, that one organisation may use. */
const OWNER_SHARE_MAX = 0.75;

/** Memory taken for one body. */
export interface BodyTicket {
  /** Takes more for the same body; false if there is no room. */
  grow(bytes: number): boolean;
  release(): void;
}

export interface BodyBudget {
  /** Takes memory for a body on behalf of an organisation; undefined if there is no room. */
  take(owner: string, bytes: number): BodyTicket | undefined;
  /** Bytes that are taken. */
  getUsed(): number;
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

/** `totalBytes`: memory for all bodies of the process. */
export function createBodyBudget(totalBytes: number): BodyBudget {
  const reserve = createPool(totalBytes * RESERVE_SHARE);
  const rest = createPool(totalBytes * (1 - RESERVE_SHARE));

  function choosePool(bytes: number): Pool {
    return bytes <= SMALL_BODY_BYTES ? reserve : rest;
  }

  return {
    take(owner, bytes) {
      let pool = choosePool(bytes);
      let taken = bytes;
      if (!takeFrom(pool, owner, bytes)) return undefined;
      return {
        grow(more) {
          const next = choosePool(taken + more);
          const needed = next === pool ? more : taken + more;
          if (!takeFrom(next, owner, needed)) return false;
          if (next !== pool) releaseTo(pool, owner, taken);
          pool = next;
          taken += more;
          return true;
        },
        release() {
          releaseTo(pool, owner, taken);
          taken = 0;
        },
      };
    },
    getUsed: () => reserve.used + rest.used,
  };
}
