import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { createJoinedBytes } from './joined-bytes.js';

const MEGABYTE = 1024 * 1024;
/** Memory that may be held for one byte, beside a smallest block. */
const HELD_FACTOR_MAX = 2;
const SLACK_BYTES = 2 * 1024;

describe('joined bytes', ({ it }) => {
  // Guards against single bytes that cost an object and a buffer each.
  it('hold little more than their pieces, however small', (t) => {
    const joined = createJoinedBytes();
    const before = process.memoryUsage();
    for (let index = 0; index < MEGABYTE; index += 1) joined.add(Buffer.from([index % 256]));
    const after = process.memoryUsage();
    t.is(joined.getLength(), MEGABYTE);
    t.true(joined.getHeld() <= 1.5 * MEGABYTE, `${joined.getHeld()} bytes held`);
    t.true(after.arrayBuffers - before.arrayBuffers < 8 * MEGABYTE);
    t.is(joined.build().length, MEGABYTE);
  });

  // Guards against a piece that keeps the buffer alive that it was read into, or changes with it.
  it('copy their pieces', (t) => {
    const joined = createJoinedBytes();
    const piece = Buffer.from('abc');
    joined.add(piece);
    piece.fill('x');
    const whole = joined.build();
    t.is(whole.toString(), 'abc');
    t.not(whole.buffer, piece.buffer);
  });

  it('are empty before the first piece, after the whole was built, and once released', (t) => {
    const joined = createJoinedBytes();
    t.is(joined.build().length, 0);
    joined.add(Buffer.alloc(5000));
    joined.add(Buffer.alloc(5000));
    t.is(joined.build().length, 10_000);
    t.is(joined.getHeld(), 0);
    joined.add(Buffer.alloc(5000));
    joined.release();
    t.deepEqual([joined.getLength(), joined.getHeld()], [0, 0]);
    t.is(joined.build().length, 0);
  });

  // Guards against bytes that are lost or changed where one block ends and the next begins.
  it('are the pieces in their order, and grow as foretold', (t) => {
    const piece = fc.oneof(
      fc.uint8Array({ maxLength: 20 }),
      fc.integer({ min: 0, max: 400_000 }).map((size) => new Uint8Array(size).fill(size % 251)),
    );
    fc.assert(
      fc.property(fc.array(piece, { maxLength: 40 }), (pieces) => {
        const joined = createJoinedBytes();
        for (const bytes of pieces) {
          const expected = joined.getHeld() + joined.computeGrowth(bytes.length);
          joined.add(bytes);
          if (joined.getHeld() !== expected) return false;
          if (joined.getHeld() > joined.getLength() * HELD_FACTOR_MAX + SLACK_BYTES) return false;
        }
        return joined.build().equals(Buffer.concat(pieces));
      }),
      { numRuns: 50 },
    );
    t.pass();
  });
});
