import { describe } from '../test/describe.js';
import { createStreamPace } from './stream-pace.js';
import type { StreamPace } from './stream-pace.js';

/** A step without calls and what each call adds, in milliseconds, and steps to an event. */
const STEP_MS = 3.4;
const CALL_MS = 0.2;
const STEPS = 5;

function computePauseMs(running: number): number {
  return STEPS * (STEP_MS + running * CALL_MS);
}

/** Feeds the pauses of engines with these numbers of calls; returns when the last came. */
function addPauses(pace: StreamPace, counts: readonly number[], startMs: number): number {
  let nowMs = startMs;
  for (const running of counts) {
    pace.add(computePauseMs(running), running, nowMs);
    nowMs += 2;
  }
  return nowMs;
}

function buildCounts(from: number, to: number): number[] {
  return Array.from({ length: 200 }, (_, index) => from + (index % (to - from + 1)));
}

describe('pace of streams', ({ it }) => {
  // A burst comes after a quiet time: the pause at three times the calls must be told before streams
  // have become that slow, and not as if a step took no time of its own.
  it('tells the pause at more calls than there are', (t) => {
    const pace = createStreamPace();
    const nowMs = addPauses(pace, buildCounts(2, 20), 0);
    const predicted = pace.predictPauseMs(60, nowMs) ?? 0;
    t.true(Math.abs(predicted - computePauseMs(60)) < 5, `${predicted}`);
  });

  it('never grows faster than in proportion, and never shrinks with more calls', (t) => {
    const pace = createStreamPace();
    for (let index = 0; index < 200; index += 1) pace.add(200 - index, 1 + (index % 3), index);
    const at = [1, 10, 100].map((running) => pace.predictPauseMs(running, 200) ?? 0);
    t.true((at[0] ?? 0) <= (at[1] ?? 0) && (at[1] ?? 0) <= (at[2] ?? 0), at.join(' '));
  });

  // Nobody is served for some seconds: what was slow before says nothing of now.
  it('says nothing of a pace that nobody saw lately', (t) => {
    const pace = createStreamPace();
    t.is(pace.predictPauseMs(10, 0), undefined);
    const nowMs = addPauses(pace, buildCounts(50, 60), 0);
    t.not(pace.predictPauseMs(10, nowMs), undefined);
    t.is(pace.predictPauseMs(10, nowMs + 5000), undefined);
  });
});
