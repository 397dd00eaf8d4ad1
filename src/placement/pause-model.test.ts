import { describe } from '../test/describe.js';
import { createPauseModel } from './pause-model.js';
import type { PauseModel } from './pause-model.js';

/** Duration of a decoding step without calls, its increase per call, and steps per event. */
const STEP_MS = 3.4;
const CALL_MS = 0.2;
const STEPS = 5;

function computePauseMs(running: number): number {
  return STEPS * (STEP_MS + running * CALL_MS);
}

/** Adds pauses at engines with these numbers of calls; returns the time of the last one. */
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

describe('pause model', ({ it }) => {
  // Guards against predicting the pauses of a burst too late, or in proportion to the calls.
  it('predicts pauses beyond the observed number of calls', (t) => {
    const model = createPauseModel();
    const nowMs = addPauses(model, buildCounts(2, 20), 0);
    const predicted = model.predictPauseMs(60, nowMs) ?? 0;
    t.true(Math.abs(predicted - computePauseMs(60)) < 5, `${predicted}`);
  });

  it('never grows more than in proportion and never shrinks with more calls', (t) => {
    const model = createPauseModel();
    for (let index = 0; index < 200; index += 1) model.add(200 - index, 1 + (index % 3), index);
    const at = [1, 10, 100].map((running) => model.predictPauseMs(running, 200) ?? 0);
    t.true((at[0] ?? 0) <= (at[1] ?? 0) && (at[1] ?? 0) <= (at[2] ?? 0), at.join(' '));
  });

  // Guards against predicting from pauses that are no longer current.
  it('predicts nothing without recent pauses', (t) => {
    const model = createPauseModel();
    t.is(model.predictPauseMs(10, 0), undefined);
    const nowMs = addPauses(model, buildCounts(50, 60), 0);
    t.not(model.predictPauseMs(10, nowMs), undefined);
    t.is(model.predictPauseMs(10, nowMs + 5000), undefined);
  });
});
