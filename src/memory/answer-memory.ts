/**
 * Memory for responses that are kept whole until their last byte has come. A response takes memory from
 * the budget as it grows. One for which there is no room is held back until room is given back; the one
 * that waits longest goes on within a part that is set aside for the largest response, one at a time,
 * so that responses never wait for each other. Performs no I/O.
 */
import { SMALL_BODY_BYTES } from './memory-budget.js';
import type { MemoryBudget, MemoryTicket } from './memory-budget.js';
import { createJoinedBytes } from './joined-bytes.js';

/** Bytes beyond the budget that came before their exchanges were held back, for all responses together. */
export const UNCHARGED_BYTES_MAX = 8 * 1024 * 1024;
/** Share of them that one organisation may have. */
const OWNER_SHARE_MAX = 0.75;
/** Time to read a response in the set-aside part while others wait: 16 MB at 7 Mbit/s. */
const UNREAD_MS_MAX = 20_000;

/** Holds an exchange back and lets it go on. */
export interface AnswerFlow {
  hold(): void;
  resume(): void;
}

/** Memory of one response. */
export interface HeldAnswer {
  /** Keeps a copy of a piece; false if no memory is left even for this piece. */
  add(piece: Uint8Array): boolean;
  /** Returns the whole; its memory counts until it is released. */
  build(): Buffer;
  /** The whole is on its way to its caller; `close` is called if the caller leaves it unread for too long. */
  startDelivery(close: () => void): void;
  /** Gives the memory back, also before the end: nobody waits for the response, and nothing more is kept. */
  release(): void;
}

export interface AnswerMemory {
  /** `owner`: organisation on whose behalf memory is taken. */
  open(owner: string, flow: AnswerFlow): HeldAnswer;
  /** Bytes held beyond those that are taken from the budget. */
  getBeyond(): number;
  /** Responses that are held back. */
  countWaiting(): number;
  /** Closes what its caller leaves unread while others wait; must be called regularly. */
  advance(): void;
}

export interface AnswerMemoryOptions {
  readonly budget: MemoryBudget;
  /** Part of the budget that all responses may take which are not small. */
  readonly largeBytesMax: number;
  readonly getNow: () => number;
}

/** A response whose memory is arranged. */
interface Holder {
  readonly owner: string;
  readonly flow: AnswerFlow;
  ticket: MemoryTicket | undefined;
  /** Bytes held. */
  held: number;
  /** Bytes of them that are taken from the budget. */
  charged: number;
  isWhole: boolean;
  delivery: { readonly startedMs: number; readonly close: () => void } | undefined;
}

/** Bytes that count among those of large responses. */
function countLarge(bytes: number): number {
  return bytes > SMALL_BODY_BYTES ? bytes : 0;
}

export function createAnswerMemory(options: AnswerMemoryOptions): AnswerMemory {
  const { budget, largeBytesMax, getNow } = options;
  /** In the order in which they wait. */
  const waiting = new Set<Holder>();
  let setAside: Holder | undefined;
  let lastOwner: string | undefined;
  let largeBytes = 0;
  let unchargedBytes = 0;
  let isAdvancing = false;
  let isAdvanceDue = false;

  /** Bytes beyond the budget, and beyond the set-aside part. */
  function countUncharged(holder: Holder): number {
    return holder === setAside ? 0 : holder.held - holder.charged;
  }

  /** Every change of a holder, or of who has the set-aside part, goes through here to keep the sums. */
  function apply(holder: Holder, change: () => void): void {
    unchargedBytes -= countUncharged(holder);
    largeBytes -= countLarge(holder.charged);
    change();
    unchargedBytes += countUncharged(holder);
    largeBytes += countLarge(holder.charged);
  }

  function takeTicket({ owner, ticket, charged }: Holder, held: number): MemoryTicket | undefined {
    if (ticket === undefined) return budget.take(owner, held);
    return ticket.grow(held - charged) ? ticket : undefined;
  }

  /** Takes what a response of `held` bytes lacks; false if there is no room. */
  function takeRoom(holder: Holder, held: number): boolean {
    const more = countLarge(held) - countLarge(holder.charged);
    if (more > 0 && largeBytes + more > largeBytesMax) return false;
    const ticket = takeTicket(holder, held);
    if (ticket === undefined) return false;
    apply(holder, () => Object.assign(holder, { ticket, held, charged: held }));
    return true;
  }

  /** Returns to the budget what a response has taken. */
  function releaseRoom(holder: Holder): void {
    const { ticket } = holder;
    apply(holder, () => Object.assign(holder, { ticket: undefined, charged: 0 }));
    ticket?.release();
  }

  /** Organisations take turns. */
  function chooseNext(): Holder | undefined {
    const holders = [...waiting];
    return holders.find(({ owner }) => owner !== lastOwner) ?? holders[0];
  }

  function setSetAside(holder: Holder | undefined, changed: Holder): void {
    apply(changed, () => {
      setAside = holder;
    });
  }

  /** A response that is whole moves to the budget when it can, so that the next one goes on. */
  function releaseWhole(): void {
    if (waiting.size === 0 || setAside?.isWhole !== true) return;
    const holder = setAside;
    if (takeRoom(holder, holder.held)) setSetAside(undefined, holder);
  }

  function grantSetAside(): Holder | undefined {
    const next = setAside === undefined ? chooseNext() : undefined;
    if (next === undefined) return undefined;
    lastOwner = next.owner;
    setSetAside(next, next);
    releaseRoom(next);
    return next;
  }

  /** Takes those from the queue that may go on. */
  function takeReady(): Holder[] {
    releaseWhole();
    const ready = [...waiting].filter((holder) => takeRoom(holder, holder.held));
    for (const holder of ready) waiting.delete(holder);
    const next = grantSetAside();
    if (next !== undefined) {
      waiting.delete(next);
      ready.push(next);
    }
    return ready;
  }

  /** Runs once at a time, since what it gives back calls it again. */
  function advanceWaiting(): void {
    isAdvanceDue = true;
    if (isAdvancing) return;
    isAdvancing = true;
    const ready: Holder[] = [];
    while (isAdvanceDue) {
      isAdvanceDue = false;
      ready.push(...takeReady());
    }
    isAdvancing = false;
    for (const { flow } of ready) flow.resume();
  }

  function releaseHolder(holder: Holder): void {
    const wasWaiting = waiting.delete(holder);
    const { ticket } = holder;
    apply(holder, () => {
      Object.assign(holder, { ticket: undefined, held: 0, charged: 0, delivery: undefined });
      if (setAside === holder) setAside = undefined;
    });
    ticket?.release();
    advanceWaiting();
    if (wasWaiting) holder.flow.resume();
  }

  /** Guards against one organisation whose responses are held back and leave the others nothing. */
  function hasUnchargedRoom(owner: string, more: number): boolean {
    if (unchargedBytes + more > UNCHARGED_BYTES_MAX) return false;
    const owned = [...waiting]
      .filter((holder) => holder.owner === owner)
      .reduce((sum, holder) => sum + countUncharged(holder), 0);
    return owned + more <= UNCHARGED_BYTES_MAX * OWNER_SHARE_MAX;
  }

  /** Makes room for a response that grows; false if it has to be broken off. */
  function updateHeld(holder: Holder, held: number): boolean {
    if (holder === setAside) {
      apply(holder, () => Object.assign(holder, { held }));
      return true;
    }
    if (takeRoom(holder, held)) {
      if (waiting.delete(holder)) holder.flow.resume();
      return true;
    }
    if (!hasUnchargedRoom(holder.owner, held - holder.held)) return false;
    apply(holder, () => Object.assign(holder, { held }));
    if (!waiting.has(holder)) {
      waiting.add(holder);
      holder.flow.hold();
    }
    advanceWaiting();
    return true;
  }

  budget.subscribe(advanceWaiting);

  return {
    open(owner, flow) {
      const joined = createJoinedBytes();
      const holder: Holder = {
        owner,
        flow,
        ticket: undefined,
        held: 0,
        charged: 0,
        isWhole: false,
        delivery: undefined,
      };
      let isKept = true;

      function release(): void {
        isKept = false;
        joined.release();
        releaseHolder(holder);
      }

      return {
        add(piece) {
          if (!isKept) return true;
          const growth = joined.computeGrowth(piece.length);
          if (growth > 0 && !updateHeld(holder, holder.held + growth)) return false;
          joined.add(piece);
          return true;
        },
        build() {
          waiting.delete(holder);
          holder.isWhole = true;
          const whole = joined.build();
          if (holder === setAside) advanceWaiting();
          return whole;
        },
        startDelivery(close) {
          if (!isKept) return;
          holder.delivery = { startedMs: getNow(), close };
        },
        release,
      };
    },
    getBeyond: () => unchargedBytes + (setAside?.held ?? 0),
    countWaiting: () => waiting.size,
    advance() {
      const delivery = waiting.size === 0 ? undefined : setAside?.delivery;
      if (delivery !== undefined && getNow() - delivery.startedMs >= UNREAD_MS_MAX)
        delivery.close();
    },
  };
}
