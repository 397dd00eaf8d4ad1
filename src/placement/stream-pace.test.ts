import { describe } from '../test/describe.js';
import { createPauseModel } from './stream-pace.js';
import type { PauseModel } from './stream-pace.js';

/** A step without calls and what each call adds, in milliseconds, and steps to an event. */
const STEP_MS = 3.4;
const CALL_MS = 0.2;
const STEPS = 5;

function computePauseMs(running: number): number {
  return STEPS * (STEP_MS + running * CALL_MS);
}

/** Feeds the pauses of engines with these numbers of calls; returns when the last came. */
function addPauses(model: PauseModel, counts: readonly number[], startMs: number): number {
  let nowMs = startMs;
  for (const running of counts) {
    model.add(computePauseMs(running), running, nowMs);
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
    const model = createPauseModel();
    const nowMs = addPauses(model, buildCounts(2, 20), 0);
    const predicted = model.predictPauseMs(60, nowMs) ?? 0;
    t.true(Math.abs(predicted - computePauseMs(60)) < 5, `${predicted}`);
  });

  it('never grows faster than in proportion, and never shrinks with more calls', (t) => {
    const model = createPauseModel();
    for (let index = 0; index < 200; index += 1) model.add(200 - index, 1 + (index % 3), index);
    const at = [1, 10, 100].map((running) => model.predictPauseMs(running, 200) ?? 0);
    t.true((at[0] ?? 0) <= (at[1] ?? 0) && (at[1] ?? 0) <= (at[2] ?? 0), at.join(' '));
  });

  // Nobody is served for some seconds: what was slow before says nothing of now.
  it('says nothing of a pace that nobody saw lately', (t) => {
    const model = createPauseModel();
    t.is(model.predictPauseMs(10, 0), undefined);
    const nowMs = addPauses(model, buildCounts(50, 60), 0);
    t.not(model.predictPauseMs(10, nowMs), undefined);
    t.is(model.predictPauseMs(10, nowMs + 5000), undefined);
  });
});
