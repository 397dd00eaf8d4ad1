import { describe } from '../test/describe.js';
import { ADMISSION, chooseAdmission, compareWaiting } from './admission-decision.js';
import type { AdmissionInput, WaitingCall } from './admission-decision.js';
import { POOL_ROOM } from './pool-room.js';

const CALL: AdmissionInput = {
  rank: 2,
  ranks: 3,
  running: 4,
  slots: 16,
  preemptible: 0,
  backlogMs: 0,
  readsLessUrgent: false,
  poolRoom: POOL_ROOM.Ample,
  targetMs: 2000,
  isIsolated: false,
  pauseMs: 40,
  urgentPauseMs: 200,
  receivedMs: 0,
  deadlineMs: 8000,
  nowMs: 100,
};
/** A time by which a call has waited for as long as it may. */
const WAIT_EXHAUSTED_MS = 3300;

describe('admission to an engine', ({ describe: block }) => {
  block('decision', ({ it }) => {
    // Guards against calls that fill the queue of an engine, which then refuses further ones.
    it('waits for a free slot, or for a shorter queue if the call is most urgent', (t) => {
      t.is(chooseAdmission({ ...CALL, rank: 1, running: 16 }), ADMISSION.Wait);
      t.is(chooseAdmission({ ...CALL, rank: 1, running: 15 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...CALL, rank: 0, running: 31 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...CALL, rank: 0, running: 32 }), ADMISSION.Wait);
    });

    // Guards against holding calls back for urgent streams that run at reserved engines only.
    it('allows longer pauses at engines that the most urgent streams do not use', (t) => {
      const slowed: AdmissionInput = { ...CALL, running: 10, pauseMs: 70, urgentPauseMs: 150 };
      t.is(chooseAdmission(slowed), ADMISSION.Wait);
      const isolated: AdmissionInput = { ...slowed, isIsolated: true, urgentPauseMs: 400 };
      t.is(chooseAdmission(isolated), ADMISSION.Send);
      t.is(chooseAdmission({ ...isolated, pauseMs: 90 }), ADMISSION.Wait);
    });

    // Guards against calls that wait past their deadline, and against filling the queues with them.
    it('ends the wait before the deadline by a bounded overflow or a refusal', (t) => {
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

    // Guards against streams that start in time but are too slow to finish.
    it('holds less urgent calls back from an engine whose streams are slow', (t) => {
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

    // Guards against refusing calls of a middle rank while less urgent ones are sent.
    it('sends a middle rank while the lowest rank has to wait', (t) => {
      const slow: AdmissionInput = { ...CALL, slots: 128, running: 60, urgentPauseMs: 250 };
      t.is(chooseAdmission({ ...slow, rank: 1, pauseMs: 149 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...slow, rank: 1, pauseMs: 151 }), ADMISSION.Wait);
      t.is(chooseAdmission({ ...slow, rank: 2, pauseMs: 149 }), ADMISSION.Wait);
      t.is(chooseAdmission({ ...CALL, rank: 1, running: 14 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...CALL, rank: 2, running: 14 }), ADMISSION.Wait);
    });

    // Guards against refusing calls for slots that the engine would take from less urgent ones.
    it('counts slots that the engine takes from less urgent calls as free', (t) => {
      const full: AdmissionInput = { ...CALL, rank: 1, running: 16 };
      t.is(chooseAdmission({ ...full, preemptible: 1 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...full, running: 24, preemptible: 9 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...full, running: 24, preemptible: 8 }), ADMISSION.Wait);
      t.is(chooseAdmission({ ...full, running: 32, preemptible: 30 }), ADMISSION.Wait);
    });

    // Guards against refusing calls for pauses that come from reading less urgent prompts.
    it('ignores slow streams while the engine reads less urgent prompts', (t) => {
      const slow: AdmissionInput = { ...CALL, rank: 1, pauseMs: 190, readsLessUrgent: true };
      t.is(chooseAdmission(slow), ADMISSION.Send);
      t.is(chooseAdmission({ ...slow, readsLessUrgent: false }), ADMISSION.Wait);
      t.is(chooseAdmission({ ...slow, running: 16 }), ADMISSION.Wait);
    });

    // Guards against large calls that begin right before more urgent ones are refused.
    it('holds the lowest rank back while the pool has no room for it', (t) => {
      const full: AdmissionInput = { ...CALL, poolRoom: POOL_ROOM.None };
      t.is(chooseAdmission(full), ADMISSION.Wait);
      t.is(chooseAdmission({ ...full, nowMs: WAIT_EXHAUSTED_MS }), ADMISSION.Refuse);
      t.is(chooseAdmission({ ...full, rank: 1 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...full, rank: 0, ranks: 1 }), ADMISSION.Send);
    });

    // Guards against prompts that pile up at one engine and slow down all of its streams for seconds.
    it('holds the lowest rank back where room is scarce and the engine has many prompts to read', (t) => {
      const scarce: AdmissionInput = { ...CALL, poolRoom: POOL_ROOM.Scarce };
      t.is(chooseAdmission({ ...scarce, backlogMs: 390 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...scarce, backlogMs: 410 }), ADMISSION.Wait);
      t.is(chooseAdmission({ ...scarce, rank: 1, backlogMs: 410 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...CALL, backlogMs: 410 }), ADMISSION.Send);
    });

    it('applies the full slot limit and the lowest pause limit with two ranks', (t) => {
      const only: AdmissionInput = { ...CALL, rank: 1, ranks: 2, running: 15 };
      t.is(chooseAdmission(only), ADMISSION.Send);
      t.is(chooseAdmission({ ...only, pauseMs: 61 }), ADMISSION.Wait);
    });

    // Guards against holding calls back for an engine that is slow for reasons other than its load.
    it('sends a minimum number of calls even if streams are slow', (t) => {
      t.is(chooseAdmission({ ...CALL, running: 3, pauseMs: 900 }), ADMISSION.Send);
      t.is(chooseAdmission({ ...CALL, running: 4, pauseMs: 900 }), ADMISSION.Wait);
    });
  });

  block('order of waiting calls', ({ it }) => {
    const build = (urgency: number, receivedMs: number): WaitingCall => ({
      urgency,
      receivedMs,
      targetMs: 1500,
      answerMs: 250,
    });

    it('is by urgency, then by whether the target can be met, then by age', (t) => {
      const late = build(2, 0);
      const older = build(2, 1000);
      const newer = build(2, 1500);
      const urgent = build(1, 1900);
      const ordered = [newer, late, older, urgent].sort((a, b) => compareWaiting(a, b, 2000));
      t.deepEqual(ordered, [urgent, older, newer, late]);
    });
  });
});
