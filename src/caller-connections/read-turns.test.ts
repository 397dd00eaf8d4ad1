import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { TURN_MS, createReadTurns } from './read-turns.js';
import type { Reader } from './read-turns.js';

function createWorld() {
  let nowMs = 0;
  const rests: { readonly restMs: number; readonly handler: () => void }[] = [];
  const turns = createReadTurns({
    getNow: () => nowMs,
    onRested: (restMs, handler) => rests.push({ restMs, handler }),
  });
  return {
    turns,
    rests,
    getNow: () => nowMs,
    createReader(sliceMs: number, slices: number) {
      let read = 0;
      const reader: Reader = {
        readSlice() {
          nowMs += sliceMs;
          read += 1;
          return read < slices;
        },
      };
      return { reader, countRead: () => read };
    },
    /** Ends the rest that is under way; returns whether there was one. */
    endRest(): boolean {
      const rest = rests.shift();
      if (rest === undefined) return false;
      nowMs += rest.restMs;
      rest.handler();
      return true;
    },
  };
}

describe('turns of connections that are read', ({ it }) => {
  it('are not needed for one that is cheap', (t) => {
    const world = createWorld();
    const { reader, countRead } = world.createReader(0.1, 10);
    world.turns.start(reader);
    t.is(countRead(), 10);
    t.is(world.rests.length, 0);
  });

  // Guards against one connection that takes the whole time of the process.
  it('are taken one after another, with rests, by those that are costly', (t) => {
    const world = createWorld();
    const readers = Array.from({ length: 3 }, () => world.createReader(TURN_MS, 4));
    for (const { reader } of readers) world.turns.start(reader);
    t.is(world.turns.countWaiting(), 3);
    t.true(world.endRest());
    t.deepEqual(
      readers.map(({ countRead }) => countRead()),
      [2, 1, 1],
    );
    t.true(world.endRest());
    t.deepEqual(
      readers.map(({ countRead }) => countRead()),
      [2, 2, 1],
    );
  });

  it('are not taken by a connection that was removed', (t) => {
    const world = createWorld();
    const { reader, countRead } = world.createReader(TURN_MS, 4);
    world.turns.start(reader);
    world.turns.remove(reader);
    world.endRest();
    t.is(countRead(), 1);
    t.false(world.endRest());
  });

  it('read everything, and leave the process most of its time', (t) => {
    const readers = fc.array(
      fc.record({ sliceMs: fc.integer({ min: 1, max: 9 }), slices: fc.nat(20) }),
      {
        maxLength: 20,
      },
    );
    fc.assert(
      fc.property(readers, (all) => {
        const world = createWorld();
        const created = all.map(({ sliceMs, slices }) => world.createReader(sliceMs, slices + 1));
        for (const { reader } of created) world.turns.start(reader);
        const beganMs = world.getNow();
        const unread = (): number =>
          all.reduce(
            (sum, { sliceMs, slices }, index) =>
              sum + sliceMs * (slices + 1 - (created[index]?.countRead() ?? 0)),
            0,
          );
        const workMs = unread();
        while (world.endRest());
        t.is(unread(), 0);
        t.is(world.turns.countWaiting(), 0);
        t.true(world.getNow() - beganMs >= 2 * workMs);
      }),
    );
  });
});
