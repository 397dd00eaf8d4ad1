import { describe } from '../test/describe.js';
import { ANSWER_FAULT, createAnswerGuard } from './answer-guard.js';

const KB = 1024;

describe('the guard of an answer', ({ it, describe: describeInner }) => {
  it('lets a handful of informational heads pass', (t) => {
    const guard = createAnswerGuard();
    guard.startAnswer(0);
    for (let count = 0; count < 10; count += 1) t.is(guard.recordHead(103), undefined);
    t.is(guard.recordHead(200), undefined);
  });

  // Guards against a server that sends informational heads without end and never answers.
  it('refuses informational heads without end, counted anew for each answer', (t) => {
    const guard = createAnswerGuard();
    for (let answer = 0; answer < 3; answer += 1) {
      guard.startAnswer(0);
      const faults = Array.from({ length: 17 }, () => guard.recordHead(102));
      t.deepEqual(faults.slice(0, 16), Array(16).fill(undefined));
      t.is(faults[16], ANSWER_FAULT.InformationalHeads);
    }
  });

  // Guards against an answer with a status that no reader of the protocol knows.
  it('refuses statuses above 599', (t) => {
    const guard = createAnswerGuard();
    guard.startAnswer(0);
    for (const status of [200, 429, 599]) t.is(guard.recordHead(status), undefined);
    for (const status of [600, 999]) t.is(guard.recordHead(status), ANSWER_FAULT.Status);
  });

  describeInner('over the bytes of a connection', (inner) => {
    // Guards against a status line, chunk extension or trailer that is read until the call's time is up.
    inner.it('refuses bytes without a body', (t) => {
      const guard = createAnswerGuard();
      guard.startAnswer(1000);
      t.is(guard.checkBytes(1000 + 256 * KB), undefined);
      t.is(guard.checkBytes(1001 + 256 * KB), ANSWER_FAULT.Overhead);
    });

    inner.it('lets a body of any length in chunks of one byte pass', (t) => {
      const guard = createAnswerGuard();
      guard.startAnswer(0);
      for (let bytes = 1; bytes <= 16 * KB * KB; bytes *= 2) {
        guard.recordBody(bytes);
        t.is(guard.checkBytes(bytes * 6), undefined);
      }
    });

    // Guards against a long extension before each of many small chunks.
    inner.it('refuses framing that outweighs the body', (t) => {
      const guard = createAnswerGuard();
      guard.startAnswer(0);
      let handledBytes = 0;
      let fault;
      while (fault === undefined && handledBytes < KB * KB) {
        guard.recordBody(1);
        handledBytes += KB;
        fault = guard.checkBytes(handledBytes);
      }
      t.is(fault, ANSWER_FAULT.Overhead);
    });

    // Guards against bytes after an answer that are read as the answer to the next request.
    inner.it('refuses bytes that no request asked for', (t) => {
      const guard = createAnswerGuard();
      t.is(guard.checkBytes(0), ANSWER_FAULT.Unasked);
      guard.startAnswer(0);
      t.is(guard.checkBytes(10), undefined);
      guard.endAnswer();
      t.is(guard.checkBytes(10), ANSWER_FAULT.Unasked);
      guard.startAnswer(10);
      t.is(guard.checkBytes(20), undefined);
    });
  });
});
