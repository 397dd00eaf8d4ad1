import { describe } from '../test/describe.js';
import { compareWaiting, isHeldBack } from './hold-back.js';
import type { WaitingCall } from './hold-back.js';

const CALL = {
  running: 4,
  slots: 16,
  receivedMs: 0,
  deadlineMs: 8000,
  nowMs: 100,
};

describe('holding calls back', ({ describe: block }) => {
  block('whether', ({ it }) => {
    // An engine with 16 slots has 16 calls under way and queues what comes; at 50 it refuses. Calls
    // that are refused with a single try are lost to their caller for now; here they only wait.
    it('keeps calls from an engine without a free slot, the most urgent from a long queue', (t) => {
      t.true(isHeldBack({ ...CALL, priority: 1, running: 16 }));
      t.false(isHeldBack({ ...CALL, priority: 1, running: 15 }));
      t.false(isHeldBack({ ...CALL, priority: 0, running: 31 }));
      t.true(isHeldBack({ ...CALL, priority: 0, running: 32 }));
    });

    // Engines stay busy for minutes: a history that waited on would be lost, and no class may starve.
    it('ends while the call can still be served', (t) => {
      t.false(isHeldBack({ ...CALL, priority: 2, running: 40, nowMs: 3300 }));
    });
  });

  block('in which order', ({ it }) => {
    const build = (urgency: number, receivedMs: number): WaitingCall => ({
      urgency,
      receivedMs,
      targetMs: 1500,
      answerMs: 250,
    });

    it('the urgent first, then those that can still be in time, oldest first', (t) => {
      const late = build(2, 0);
      const older = build(2, 1000);
      const newer = build(2, 1500);
      const urgent = build(1, 1900);
      const ordered = [newer, late, older, urgent].sort((a, b) => compareWaiting(a, b, 2000));
      t.deepEqual(ordered, [urgent, older, newer, late]);
    });
  });
});
