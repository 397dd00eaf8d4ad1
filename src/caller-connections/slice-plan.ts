/**
 * Decides how much of what was read from a connection goes to the HTTP parser at once. Performs no I/O.
 *
 * The parser takes whatever it is given to its end: one read may hold thousands of requests or chunks. A
 * slice therefore ends with a head or with the body behind it, so that the next request is not parsed
 * before it may be handled.
 */

import { assertNever } from '../utils/assert-never.js';

/** First slice of a body in chunks, and the one after a costly slice. */
export const SLICE_BYTES_MIN = 4 * 1024;
const SLICE_BYTES_MAX = 64 * 1024;
/** Time for a slice below which the next one of a body in chunks is larger. */
const CHEAP_SLICE_MS = 0.25;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const DIGIT_ZERO = 0x30;

/** What the parser expects next. */
export type Expected =
  | { readonly kind: 'head' }
  /** `leftBytes`: what is left of the body, or more. */
  | { readonly kind: 'body'; readonly leftBytes: number }
  | { readonly kind: 'chunks' };

export interface SlicePlan {
  /** Length of the next slice of `held`, which is not empty. */
  computeLength(held: Buffer, expected: Expected): number;
  /** Tells how long the parser took for the slice before. */
  recordCost(tookMs: number): void;
}

/** Length of the line break that the bytes begin with, whose line came before; 0 if there is none. */
function computeBreakLength(held: Buffer): number {
  if (held[0] === LINE_FEED) return 1;
  return held[0] === CARRIAGE_RETURN && held[1] === LINE_FEED ? 2 : 0;
}

/** Finds the end of the first blank line; the length if there is none. */
function findBlankLineEnd(held: Buffer, from: number): number {
  let feed = held.indexOf(LINE_FEED, from);
  while (feed !== -1) {
    const next = held[feed + 1] === CARRIAGE_RETURN ? feed + 2 : feed + 1;
    if (held[next] === LINE_FEED) return next + 1;
    feed = held.indexOf(LINE_FEED, feed + 1);
  }
  return held.length;
}

/** Finds the end of a body in chunks: the blank line behind a line that begins with a zero. */
function findChunksEnd(held: Buffer): number {
  if (held[0] === DIGIT_ZERO) return findBlankLineEnd(held, 0);
  const zero = held.indexOf('\n0', 0, 'latin1');
  return zero === -1 ? held.length : findBlankLineEnd(held, zero + 1);
}

export function createSlicePlan(): SlicePlan {
  let sliceBytes = SLICE_BYTES_MIN;

  return {
    computeLength(held, expected) {
      switch (expected.kind) {
        case 'head':
          return computeBreakLength(held) || findBlankLineEnd(held, 0);
        case 'body':
          return Math.max(1, Math.min(held.length, expected.leftBytes));
        case 'chunks':
          return computeBreakLength(held) || findChunksEnd(held.subarray(0, sliceBytes));
        default:
          return assertNever(expected);
      }
    },
    recordCost(tookMs) {
      const isCheap = tookMs <= CHEAP_SLICE_MS;
      sliceBytes = isCheap ? Math.min(sliceBytes * 2, SLICE_BYTES_MAX) : SLICE_BYTES_MIN;
    },
  };
}
