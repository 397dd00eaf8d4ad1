/**
 * Shares the event loop between connections: decides which of them may read on in a turn of the loop
 * and which wait for a later one, by the time that the handling of their bytes takes. Does no I/O.
 */

/** Time of one turn that a connection may use up; ordinary answers use less. */
const READER_TURN_MS = 2;
/** Time of one turn for all connections that used up theirs in an earlier turn. */
const WAITING_TURN_MS = 5;

/** Size of the first piece of a connection, and bounds of the later ones. */
const FIRST_PIECE_BYTES = 4 * 1024;
const PIECE_BYTES_MIN = 1024;
const PIECE_BYTES_MAX = 64 * 1024;
/** A piece that takes longer is followed by one of half its size, a faster one by one of twice its size. */
const SLOW_PIECE_MS = 0.5;
const FAST_PIECE_MS = 0.2;

export interface ReadTurnsOptions {
  /** In milliseconds; never decreases. */
  readonly getNow: () => number;
  /** Calls `run` in the next turn of the event loop. */
  readonly onNextTurn: (run: () => void) => void;
}

/** One connection. */
export interface TurnReader {
  /**
   * Returns the size of the piece that may be read now, in bytes. If it is 0, `onTurn` is called in a
   * later turn. The time from this call to the next one, or to `recordDrained`, counts as that of the piece.
   */
  takePiece(): number;
  /** All that has arrived is handled. */
  recordDrained(): void;
  /** It reads no more. */
  close(): void;
}

export interface ReadTurns {
  /** `onTurn`: reads on after a wait. */
  addReader(onTurn: () => void): TurnReader;
}

interface ReaderState {
  readonly onTurn: () => void;
  turn: number;
  usedMs: number;
  pieceBytes: number;
  /** Undefined while no piece is handled. */
  pieceStartMs: number | undefined;
}

function computePieceBytes(pieceBytes: number, tookMs: number): number {
  if (tookMs > SLOW_PIECE_MS) return Math.max(PIECE_BYTES_MIN, pieceBytes / 2);
  if (tookMs < FAST_PIECE_MS) return Math.min(PIECE_BYTES_MAX, pieceBytes * 2);
  return pieceBytes;
}

export function createReadTurns({ getNow, onNextTurn }: ReadTurnsOptions): ReadTurns {
  /** In the order in which they read on. */
  const waiting = new Set<ReaderState>();
  let turn = 0;
  let isTurnAwaited = false;

  function waitForTurn(): void {
    if (isTurnAwaited) return;
    isTurnAwaited = true;
    onNextTurn(advanceTurn);
  }

  function advanceTurn(): void {
    isTurnAwaited = false;
    turn += 1;
    const startMs = getNow();
    for (const reader of [...waiting]) {
      if (getNow() - startMs >= WAITING_TURN_MS) break;
      // One that an earlier reader of this turn closed is skipped.
      if (waiting.delete(reader)) reader.onTurn();
    }
    if (waiting.size > 0) waitForTurn();
  }

  function recordPieceEnd(reader: ReaderState, nowMs: number): void {
    if (reader.turn !== turn) {
      reader.turn = turn;
      reader.usedMs = 0;
    } else if (reader.pieceStartMs !== undefined) {
      const tookMs = nowMs - reader.pieceStartMs;
      reader.usedMs += tookMs;
      reader.pieceBytes = computePieceBytes(reader.pieceBytes, tookMs);
    }
    reader.pieceStartMs = undefined;
  }

  function takePiece(reader: ReaderState): number {
    if (waiting.has(reader)) return 0;
    const nowMs = getNow();
    recordPieceEnd(reader, nowMs);
    waitForTurn();
    if (reader.usedMs >= READER_TURN_MS) {
      waiting.add(reader);
      return 0;
    }
    reader.pieceStartMs = nowMs;
    return reader.pieceBytes;
  }

  return {
    addReader(onTurn) {
      const reader: ReaderState = {
        onTurn,
        turn,
        usedMs: 0,
        pieceBytes: FIRST_PIECE_BYTES,
        pieceStartMs: undefined,
      };
      return {
        takePiece: () => takePiece(reader),
        recordDrained: () => recordPieceEnd(reader, getNow()),
        close() {
          waiting.delete(reader);
        },
      };
    },
  };
}
