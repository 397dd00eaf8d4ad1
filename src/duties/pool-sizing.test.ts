import fc from 'fast-check';
import type { ScalingLimits } from '../types/traffic.js';
import { describe } from '../test/describe.js';
import { computeDesired } from './pool-sizing.js';
import type { RunningCount, SizingInput } from './pool-sizing.js';

const SCALING: ScalingLimits = {
  dataCentres: ['a', 'b', 'c'],
  min: 1,
  max: 28,
  bootMs: 4000,
  spotPrice: 0.22,
};

function buildRunning(onDemand: number, spot: number): RunningCount[] {
  return SCALING.dataCentres.map((dataCentre) => ({ dataCentre, onDemand, spot }));
}

function buildInput(changes: Partial<SizingInput>): SizingInput {
  return {
    scaling: SCALING,
    running: buildRunning(14, 0),
    baseline: 42,
    peakCount: 0,
    backlogMs: 0,
    targetMs: 400,
    ...changes,
  };
}

/** Carries out the desired counts until they no longer change. */
function runUntilStable(input: SizingInput): readonly RunningCount[] {
  let { running } = input;
  for (let round = 0; round < 20; round += 1) running = computeDesired({ ...input, running });
  return running;
}

function countAll(running: readonly RunningCount[]): number {
  return running.reduce((sum, { onDemand, spot }) => sum + onDemand + spot, 0);
}

describe('pool sizing', ({ it }) => {
  it('leaves the pool unchanged if spot capacity is not cheaper', (t) => {
    const scaling = { ...SCALING, spotPrice: undefined };
    t.deepEqual(computeDesired(buildInput({ scaling })), []);
    const running = [20, 14, 8].map((onDemand, index) => ({
      dataCentre: `d${index}`,
      onDemand,
      spot: 0,
    }));
    t.deepEqual(computeDesired(buildInput({ scaling, running, backlogMs: 1000 })), []);
  });

  it('keeps on-demand endpoints until spot endpoints replace them', (t) => {
    const [first] = computeDesired(buildInput({}));
    t.is(first?.onDemand, 14);
    t.is(first?.spot, 14);
  });

  // Guards against a pool too small for a load peak, or for normal load after the loss of one data
  // centre's spot capacity.
  it('keeps a third of headroom after the loss of one data centre’s spot endpoints', (t) => {
    const running = runUntilStable(buildInput({}));
    for (const lost of running) t.true(countAll(running) - lost.spot >= 56);
    const onDemandCount = running.reduce((sum, each) => sum + each.onDemand, 0);
    t.true(onDemandCount <= 42 * 0.25, JSON.stringify(running));
  });

  it('grows with the backlog, by spot endpoints only', (t) => {
    const idle = runUntilStable(buildInput({}));
    const loaded = computeDesired(buildInput({ running: idle, backlogMs: 400 }));
    t.true(countAll(loaded) > countAll(idle));
    t.deepEqual(
      loaded.map(({ onDemand }) => onDemand),
      idle.map(({ onDemand }) => onDemand),
    );
  });

  it('falls back to on-demand endpoints if no spot endpoints start', (t) => {
    const running = runUntilStable(buildInput({}));
    const withoutSpot = computeDesired(
      buildInput({ running: running.map((p) => ({ ...p, spot: 0 })) }),
    );
    t.deepEqual(
      withoutSpot.map(({ onDemand }) => onDemand),
      [14, 14, 14],
    );
  });

  it('stays within the configured bounds for any input', (t) => {
    const runningCounts = fc.record({ onDemand: fc.nat(40), spot: fc.nat(40) });
    const property = fc.property(
      fc.array(runningCounts, { minLength: 1, maxLength: 5 }),
      fc.nat(200),
      fc.double({ min: 0, max: 1e6, noNaN: true }),
      fc.option(fc.double({ min: 0.01, max: 2, noNaN: true }), { nil: undefined }),
      (counts, baseline, backlogMs, spotPrice) => {
        const running = counts.map((each, index) => ({ dataCentre: `d${index}`, ...each }));
        const scaling = { ...SCALING, spotPrice };
        const desired = computeDesired(buildInput({ running, baseline, backlogMs, scaling }));
        return desired.every(
          ({ onDemand, spot }) =>
            Number.isInteger(onDemand + spot) &&
            spot >= 0 &&
            onDemand >= SCALING.min &&
            onDemand + spot <= SCALING.max,
        );
      },
    );
    t.notThrows(() => fc.assert(property));
  });
});
