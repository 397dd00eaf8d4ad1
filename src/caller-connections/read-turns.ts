/**
 * Shares the time that parsing takes between connections. Performs no I/O.
 *
 * A connection is parsed at once as long as that is cheap. One that takes longer waits for a turn; turns
 * come one after another, with a rest in proportion to the time of the one before, so that all costly
 * connections together leave most of the process's time to the others.
 */

/** Time of one turn, and time that a connection may take before it has to wait for one. */
export const TURN_MS = 2;
/** Rest after a turn, as a multiple of its time. */
const REST_FACTOR = 2;

export interface Reader {
  /** Parses one slice; returns whether there is more that may be parsed now. */
  readSlice(): boolean;
}

export interface ReadTurns {
  /** Lets a connection parse what it holds, now or in its turn. */
  start(reader: Reader): void;
  remove(reader: Reader): void;
  countWaiting(): number;
}

export interface ReadTurnsOptions {
  /** Milliseconds on a monotonic clock. */
  readonly getNow: () => number;
  readonly onRested: (restMs: number, handler: () => void) => void;
}

export function createReadTurns({ getNow, onRested }: ReadTurnsOptions): ReadTurns {
  /** In the order of their turns. */
  const waiting = new Set<Reader>();
  let isResting = false;

  function startRest(tookMs: number): void {
    if (isResting || waiting.size === 0) return;
    isResting = true;
    onRested(tookMs * REST_FACTOR, () => {
      isResting = false;
      startTurn();
    });
  }

  /** Returns the time that it took. */
  function runReader(reader: Reader): number {
    const beganMs = getNow();
    let hasMore = true;
    let tookMs = 0;
    while (hasMore && tookMs < TURN_MS) {
      hasMore = reader.readSlice();
      tookMs = getNow() - beganMs;
    }
    if (hasMore) waiting.add(reader);
    return tookMs;
  }

  function startTurn(): void {
    let tookMs = 0;
    const count = waiting.size;
    for (let index = 0; index < count && tookMs < TURN_MS; index += 1) {
      const [reader] = waiting;
      if (reader === undefined) break;
      waiting.delete(reader);
      tookMs += runReader(reader);
    }
    startRest(tookMs);
  }

  return {
    start(reader) {
      if (waiting.has(reader)) return;
      startRest(runReader(reader));
    },
    remove: (reader) => {
      waiting.delete(reader);
    },
    countWaiting: () => waiting.size,
  };
}
