import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { createReadTurns } from './read-turns.js';
import type { TurnReader } from './read-turns.js';

/** An event loop whose time passes only as pieces are handled. */
function createLoop() {
  let nowMs = 0;
  let next: (() => void)[] = [];
  const turns = createReadTurns({
    getNow: () => nowMs,
    onNextTurn: (run) => {
      next.push(run);
    },
  });
  return {
    turns,
    addTime(ms: number) {
      nowMs += ms;
    },
    getNow: () => nowMs,
    /** Runs the next turn; returns how long it took. */
    runTurn() {
      const startMs = nowMs;
      const due = next;
      next = [];
      for (const run of due) run();
      return nowMs - startMs;
    },
    isIdle: () => next.length === 0,
  };
}

type Loop = ReturnType<typeof createLoop>;

/** A connection with pieces that have arrived; each takes its time to handle. */
function createConnection(loop: Loop, pieces: number, pieceMs: number) {
  let left = pieces;
  const reader: TurnReader = loop.turns.addReader(readOn);
  function readOn(): void {
    while (left > 0) {
      if (reader.takePiece() === 0) return;
      left -= 1;
      loop.addTime(pieceMs);
    }
    reader.recordDrained();
  }
  return { readOn, countLeft: () => left, close: () => reader.close() };
}

describe('the turns of connections', ({ it }) => {
  it('let an ordinary answer be read at once', (t) => {
    const loop = createLoop();
    const connection = createConnection(loop, 20, 0.05);
    connection.readOn();
    t.is(connection.countLeft(), 0);
  });

  // Guards against a connection with costly bytes that keeps the event loop from all others.
  it('end the turn of a connection that has used up its time, and read it on in later ones', (t) => {
    const loop = createLoop();
    const connection = createConnection(loop, 100, 1);
    connection.readOn();
    t.is(connection.countLeft(), 98);
    // What arrives meanwhile does not let it read before its turn.
    connection.readOn();
    t.is(connection.countLeft(), 98);
    let turns = 0;
    while (connection.countLeft() > 0 && turns < 100) {
      t.true(loop.runTurn() <= 2);
      turns += 1;
    }
    t.is(connection.countLeft(), 0);
  });

  // Guards against many such connections that together take seconds of each turn.
  it('bound the time that all waiting connections take of a turn, in the order of their waits', (t) => {
    const loop = createLoop();
    const connections = Array.from({ length: 40 }, () => createConnection(loop, 50, 1));
    for (const { readOn } of connections) readOn();
    let turns = 0;
    while (connections.some(({ countLeft }) => countLeft() > 0) && turns < 1000) {
      t.true(loop.runTurn() <= 7);
      const left = connections.map(({ countLeft }) => countLeft());
      t.true(Math.max(...left) - Math.min(...left) <= 2);
      turns += 1;
    }
    t.true(connections.every(({ countLeft }) => countLeft() === 0));
  });

  // Guards against one read of many costly pieces that takes far longer than a turn.
  it('make the pieces of a connection smaller while they are costly, and larger again', (t) => {
    const loop = createLoop();
    const reader = loop.turns.addReader(() => undefined);
    const takeSizes = (pieceMs: number): readonly number[] =>
      Array.from({ length: 20 }, () => {
        const bytes = reader.takePiece();
        loop.addTime(pieceMs);
        reader.recordDrained();
        loop.runTurn();
        return bytes;
      }).filter((bytes) => bytes > 0);
    t.is(takeSizes(1).at(-1), 1024);
    t.is(takeSizes(0.3).at(-1), 1024);
    t.is(takeSizes(0.1).at(-1), 64 * 1024);
  });

  it('do not read a closed connection on', (t) => {
    const loop = createLoop();
    const connection = createConnection(loop, 10, 2);
    connection.readOn();
    connection.close();
    loop.runTurn();
    t.is(connection.countLeft(), 9);
    loop.runTurn();
    t.true(loop.isIdle());
  });

  it('read every connection to its end, whatever its pieces cost', (t) => {
    const connection = fc.record({
      pieces: fc.integer({ min: 0, max: 40 }),
      pieceMs: fc.double({ min: 0, max: 8, noNaN: true }),
    });
    fc.assert(
      fc.property(fc.array(connection, { maxLength: 20 }), (list) => {
        const loop = createLoop();
        const connections = list.map(({ pieces, pieceMs }) =>
          createConnection(loop, pieces, pieceMs),
        );
        for (const { readOn } of connections) readOn();
        for (let turn = 0; turn < 2000 && !loop.isIdle(); turn += 1) loop.runTurn();
        t.true(connections.every(({ countLeft }) => countLeft() === 0));
        t.true(loop.isIdle());
      }),
      { seed: 4127, numRuns: 200 },
    );
  });
});
