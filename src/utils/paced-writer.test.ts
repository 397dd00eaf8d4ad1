import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { WAITING_BYTES_MAX, createPacedWriter } from './paced-writer.js';

const STEP = fc.oneof(
  fc.nat(WAITING_BYTES_MAX).map((bytes) => ({ kind: 'write' as const, bytes })),
  fc.nat(3).map((bytes) => ({ kind: 'write' as const, bytes })),
  fc.constant({ kind: 'written' as const }),
);

function createReader() {
  const written: Buffer[] = [];
  const state = { isPaused: false, underWay: undefined as (() => void) | undefined };
  const writer = createPacedWriter({
    write(bytes, onWritten) {
      written.push(bytes);
      state.underWay = onWritten;
    },
    pause() {
      state.isPaused = true;
    },
    resume() {
      state.isPaused = false;
    },
  });
  return { writer, written, state };
}

describe('a paced writer', ({ it }) => {
  // Guards against bytes that are lost or change their order while the reader is behind.
  it('writes all bytes in order, one write at a time, and asks for no more while it is behind', (t) => {
    fc.assert(
      fc.property(fc.array(STEP), (steps) => {
        const { writer, written, state } = createReader();
        const sent: Buffer[] = [];
        for (const [index, step] of steps.entries()) {
          if (step.kind === 'written') {
            const { underWay } = state;
            state.underWay = undefined;
            underWay?.();
          } else if (!state.isPaused && step.bytes > 0) {
            const bytes = Buffer.alloc(step.bytes, index);
            sent.push(bytes);
            writer.write(bytes);
          }
          const waiting = Buffer.concat(sent).length - Buffer.concat(written).length;
          if (state.isPaused !== waiting >= WAITING_BYTES_MAX) return false;
          if (waiting > 0 && state.underWay === undefined) return false;
        }
        writer.flush();
        return Buffer.concat(written).equals(Buffer.concat(sent));
      }),
    );
    t.pass();
  });

  // Guards against a write for each of many small events.
  it('joins what comes while a write is under way', (t) => {
    const { writer, written, state } = createReader();
    for (let index = 0; index < 1000; index += 1) writer.write(Buffer.from('x'));
    state.underWay?.();
    t.deepEqual(
      written.map(({ length }) => length),
      [1, 999],
    );
  });
});
