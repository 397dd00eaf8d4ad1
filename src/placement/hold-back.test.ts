import { describe } from '../test/describe.js';
import { compareWaiting, isHeldBack } from './hold-back.js';
import type { WaitingCall } from './hold-back.js';

const CALL = {
  readMs: 33,
  shortestTargetMs: 300,
  running: 4,
  slots: 16,
  receivedMs: 0,
  deadlineMs: 8000,
  nowMs: 100,
};

describe('holding calls back', ({ describe: block }) => {
  block('whether', ({ it }) => {
    // The counter opens while long histories burst in. A clerk's question must not stand behind all
    // of them in an engine's reading order: the histories wait at the instance instead.
    it('keeps long, less urgent calls from a busy engine, never the most urgent', (t) => {
      t.true(isHeldBack({ ...CALL, priority: 2, unreadMs: 250 }));
      t.false(isHeldBack({ ...CALL, priority: 1, unreadMs: 250 }));
      t.true(isHeldBack({ ...CALL, priority: 1, unreadMs: 625 }));
      t.false(isHeldBack({ ...CALL, priority: 0, unreadMs: 8900 }));
    });

    it('lets an engine with little to read have work at once', (t) => {
      t.false(isHeldBack({ ...CALL, priority: 2, unreadMs: 89 }));
    });

    // An organisation with a low priority asks a short question during a burst. Held behind everybody
    // else's histories for over a second it would get no answer at all, though it delays nobody.
    it('never keeps a short prompt', (t) => {
      t.false(isHeldBack({ ...CALL, readMs: 13, priority: 2, unreadMs: 900 }));
    });

    // An engine with 16 slots has 16 calls under way and queues what comes; at 50 it refuses. Calls
    // that are refused with a single try are lost to their caller for now; here they only wait.
    it('keeps calls from an engine without a free slot, the most urgent from a long queue', (t) => {
      t.true(isHeldBack({ ...CALL, readMs: 8, priority: 1, unreadMs: 0, running: 16 }));
      t.false(isHeldBack({ ...CALL, readMs: 8, priority: 1, unreadMs: 0, running: 15 }));
      t.false(isHeldBack({ ...CALL, priority: 0, unreadMs: 0, running: 31 }));
      t.true(isHeldBack({ ...CALL, priority: 0, unreadMs: 0, running: 32 }));
    });

    // Engines stay busy for minutes: a history that waited on would be lost, and no class may starve.
    it('ends while the call can still be served', (t) => {
      t.false(isHeldBack({ ...CALL, priority: 2, unreadMs: 8000, nowMs: 3300 }));
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
