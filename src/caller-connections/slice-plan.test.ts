import fc from 'fast-check';
import { describe } from '../test/describe.js';
import { SLICE_BYTES_MIN, createSlicePlan } from './slice-plan.js';
import type { Expected } from './slice-plan.js';

const HEAD: Expected = { kind: 'head' };
const CHUNKS: Expected = { kind: 'chunks' };
const PIECES = ['GET / HTTP/1.1\r\n', 'A: b\r\n', '\r\n', '\r', '\n', '0', 'x'];

function computeLength(text: string, expected: Expected): number {
  return createSlicePlan().computeLength(Buffer.from(text, 'latin1'), expected);
}

describe('a slice for the parser', ({ it }) => {
  // Guards against a read of thousands of requests that are all made objects at once.
  it('ends with the head of a request', (t) => {
    const head = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
    t.is(computeLength(head.repeat(3), HEAD), head.length);
    t.is(computeLength(`\r\n${head}${head}`, HEAD), 2);
    t.is(computeLength(`\n${head}${head}`, HEAD), 1);
    t.is(computeLength('GET / HT', HEAD), 8);
  });

  it('ends with a body whose length is known', (t) => {
    t.is(computeLength('bodyGET / HTTP/1.1', { kind: 'body', leftBytes: 4 }), 4);
    t.is(computeLength('bo', { kind: 'body', leftBytes: 4 }), 2);
  });

  it('ends with the trailers of a body in chunks', (t) => {
    const end = '0\r\nA: b\r\n\r\n';
    const body = '1\r\nx\r\n';
    t.is(computeLength(`${body}${end}GET`, CHUNKS), body.length + end.length);
    t.is(computeLength(`${end}GET`, CHUNKS), end.length);
    t.is(computeLength('\r\nGET / HTTP/1.1', CHUNKS), 2);
  });

  // Guards against one read of small chunks that occupies the process for tens of milliseconds.
  it('of a body in chunks is small unless slices are cheap', (t) => {
    const plan = createSlicePlan();
    const held = Buffer.alloc(10 * SLICE_BYTES_MIN, 'x');
    t.is(plan.computeLength(held, CHUNKS), SLICE_BYTES_MIN);
    plan.recordCost(0.01);
    t.is(plan.computeLength(held, CHUNKS), 2 * SLICE_BYTES_MIN);
    plan.recordCost(5);
    t.is(plan.computeLength(held, CHUNKS), SLICE_BYTES_MIN);
  });

  it('is never empty nor longer than what is held, and holds one blank line at most', (t) => {
    const bytes = fc.array(fc.constantFrom(...PIECES), { minLength: 1 }).map((all) => all.join(''));
    const expectation = fc.oneof(
      fc.constant(HEAD),
      fc.constant(CHUNKS),
      fc.nat().map((leftBytes): Expected => ({ kind: 'body', leftBytes })),
    );
    fc.assert(
      fc.property(bytes, expectation, (text, expected) => {
        const length = computeLength(text, expected);
        t.true(length > 0 && length <= text.length);
        if (expected.kind !== 'head') return;
        t.false(/\n\r?\n[^]/.test(text.slice(0, length).replace(/^\r?\n/, '')));
      }),
    );
  });
});
