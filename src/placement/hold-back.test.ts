import { describe } from '../test/describe.js';
import { ADMISSION, chooseAdmission, compareWaiting } from './hold-back.js';
import type { AdmissionInput, WaitingCall } from './hold-back.js';

const CALL: AdmissionInput = {
  isUrgent: false,
  running: 4,
  slots: 16,
  pauseMs: 40,
  pauseTargetMs: 200,
  receivedMs: 0,
  deadlineMs: 8000,
  nowMs: 100,
};
/** Later than the share of its time that a call may wait. */
const LAST_MS = 3300;

describe('holding calls back', ({ describe: block }) => {
  block('whether', ({ it }) => {
    // An engine with 16 slots has 16 calls under way and queues what comes; at 50 it refuses. Calls
    // that are refused with a single try are lost to their caller for now; here they only wait.
    it('keeps calls from an engine without a free slot, the most urgent from a long queue', (t) => {
      t.is(chooseAdmission({ ...CALL, running: 16 }), ADMISSION.Wait);
      t.is(chooseAdmission({ ...CALL, running: 15 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...CALL, isUrgent: true, running: 31 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...CALL, isUrgent: true, running: 32 }), ADMISSION.Wait);
    });

    // Engines stay busy for minutes: a history that waited on would be lost, and no class may starve.
    // Let in without a bound, histories fill the engine's queue, which then turns lookups away.
    it('ends while the call can still be served, by a bounded overflow or a refusal', (t) => {
      t.is(chooseAdmission({ ...CALL, running: 19, nowMs: LAST_MS }), ADMISSION.Send);
      t.is(chooseAdmission({ ...CALL, running: 20, nowMs: LAST_MS }), ADMISSION.Refuse);
      t.is(
        chooseAdmission({ ...CALL, isUrgent: true, running: 60, nowMs: LAST_MS }),
        ADMISSION.Send,
      );
    });

    // Engines of 128 slots with 60 calls under way take 46 ms a step: lookups declare pauses of 250 ms
    // between events of five tokens and are given up after ten seconds, in the middle.
    it('keeps less urgent calls from an engine whose streams have become slow', (t) => {
      const slow: AdmissionInput = {
        ...CALL,
        slots: 128,
        running: 60,
        pauseMs: 130,
        pauseTargetMs: 250,
      };
      t.is(chooseAdmission(slow), ADMISSION.Wait);
      t.is(chooseAdmission({ ...slow, pauseMs: 120 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...slow, isUrgent: true }), ADMISSION.Send);
      t.is(chooseAdmission({ ...slow, pauseMs: undefined }), ADMISSION.Send);
      t.is(chooseAdmission({ ...slow, pauseTargetMs: undefined }), ADMISSION.Send);
      t.is(chooseAdmission({ ...slow, nowMs: LAST_MS }), ADMISSION.Send);
      t.is(chooseAdmission({ ...slow, pauseMs: 160, nowMs: LAST_MS }), ADMISSION.Refuse);
    });

    // A link of the engine loses packets, or the engine itself has become slow: fewer calls would not
    // make it faster, and calls held for that would wait for nothing.
    it('lets some calls in however slow the streams are', (t) => {
      t.is(chooseAdmission({ ...CALL, running: 3, pauseMs: 900 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...CALL, running: 4, pauseMs: 900 }), ADMISSION.Wait);
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
