import { describe } from '../test/describe.js';
import { ADMISSION, chooseAdmission, compareWaiting } from './hold-back.js';
import type { AdmissionInput, WaitingCall } from './hold-back.js';

const CALL: AdmissionInput = {
  rank: 2,
  ranks: 3,
  running: 4,
  slots: 16,
  isIsolated: false,
  pauseMs: 40,
  urgentPauseMs: 200,
  receivedMs: 0,
  deadlineMs: 8000,
  nowMs: 100,
};
/** Later than the share of its time that a call may wait. */
const WAIT_EXHAUSTED_MS = 3300;

describe('holding calls back', ({ describe: block }) => {
  block('whether', ({ it }) => {
    // An engine with 16 slots has 16 calls under way and queues what comes; at 50 it refuses. Calls
    // that are refused with a single try are lost to their caller for now; here they only wait.
    it('keeps calls from an engine without a free slot, the most urgent from a long queue', (t) => {
      t.is(chooseAdmission({ ...CALL, rank: 1, running: 16 }), ADMISSION.Wait);
      t.is(chooseAdmission({ ...CALL, rank: 1, running: 15 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...CALL, rank: 0, running: 31 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...CALL, rank: 0, running: 32 }), ADMISSION.Wait);
    });

    // The most urgent have engines of their own. Histories elsewhere slow down drafts only, which harms
    // these less than it would have harmed lookups.
    it('lets more in where only the next urgent may come', (t) => {
      const paced: AdmissionInput = { ...CALL, running: 10, pauseMs: 70, urgentPauseMs: 150 };
      t.is(chooseAdmission(paced), ADMISSION.Wait);
      const apart: AdmissionInput = { ...paced, isIsolated: true, urgentPauseMs: 400 };
      t.is(chooseAdmission(apart), ADMISSION.Send);
      t.is(chooseAdmission({ ...apart, pauseMs: 90 }), ADMISSION.Wait);
    });

    // Engines stay busy for minutes: a history that waited on would be lost, and no class may starve.
    // Let in without a bound, histories fill the engine's queue, which then turns lookups away.
    it('ends while the call can still be served, by a bounded overflow or a refusal', (t) => {
      t.is(
        chooseAdmission({ ...CALL, rank: 1, running: 19, nowMs: WAIT_EXHAUSTED_MS }),
        ADMISSION.Send,
      );
      t.is(
        chooseAdmission({ ...CALL, rank: 1, running: 20, nowMs: WAIT_EXHAUSTED_MS }),
        ADMISSION.Refuse,
      );
      t.is(
        chooseAdmission({ ...CALL, rank: 0, running: 60, nowMs: WAIT_EXHAUSTED_MS }),
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
        pauseMs: 76,
        urgentPauseMs: 250,
      };
      t.is(chooseAdmission(slow), ADMISSION.Wait);
      t.is(chooseAdmission({ ...slow, pauseMs: 74 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...slow, rank: 0, pauseMs: 240 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...slow, pauseMs: undefined }), ADMISSION.Send);
      t.is(chooseAdmission({ ...slow, urgentPauseMs: Infinity }), ADMISSION.Send);
      t.is(chooseAdmission({ ...slow, nowMs: WAIT_EXHAUSTED_MS }), ADMISSION.Refuse);
    });

    // Drafts are turned away, histories of twice their size begin. Both had one bound, and instances
    // cannot put what waits at each of them in one order. Proved by two plays of one day with one bound:
    // 16 of 67 and 11 of 74 drafts of five seconds got nothing; fourteen plays with these bounds have no
    // such five seconds.
    it('lets a middle rank in where the last has to wait', (t) => {
      const slow: AdmissionInput = { ...CALL, slots: 128, running: 60, urgentPauseMs: 250 };
      t.is(chooseAdmission({ ...slow, rank: 1, pauseMs: 149 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...slow, rank: 1, pauseMs: 151 }), ADMISSION.Wait);
      t.is(chooseAdmission({ ...slow, rank: 2, pauseMs: 149 }), ADMISSION.Wait);
      t.is(chooseAdmission({ ...CALL, rank: 1, running: 14 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...CALL, rank: 2, running: 14 }), ADMISSION.Wait);
    });

    it('gives all slots, and the lowest bound on pauses, to the only rank behind the urgent', (t) => {
      const only: AdmissionInput = { ...CALL, rank: 1, ranks: 2, running: 15 };
      t.is(chooseAdmission(only), ADMISSION.Send);
      t.is(chooseAdmission({ ...only, pauseMs: 61 }), ADMISSION.Wait);
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
