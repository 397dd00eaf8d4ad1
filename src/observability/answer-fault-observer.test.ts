import { ANSWER_FAULT } from '../connections/answer-guard.js';
import { describe } from '../test/describe.js';
import { ANSWER_SOURCE, createAnswerFaultObserver } from './answer-fault-observer.js';
import type { LogEvent } from './log-events.js';

describe('the observer of answers that are refused', ({ it }) => {
  // Guards against a line for each call while an endpoint's answers are broken off.
  it('counts each connection, and logs each address and fault once a minute', (t) => {
    const lines: LogEvent[] = [];
    let counted = 0;
    let nowMs = 0;
    const observer = createAnswerFaultObserver({
      log: { write: (event) => lines.push(event) },
      metrics: {
        recordAnswerFault() {
          counted += 1;
        },
      },
      getNow: () => nowMs,
    });
    for (let call = 0; call < 100; call += 1) {
      observer.onFault(ANSWER_SOURCE.Endpoint, '10.0.0.1:80', ANSWER_FAULT.Overhead);
      nowMs += 1000;
    }
    observer.onFault(ANSWER_SOURCE.Endpoint, '10.0.0.2:80', ANSWER_FAULT.Overhead);
    observer.onFault(ANSWER_SOURCE.Endpoint, '10.0.0.2:80', ANSWER_FAULT.Malformed);
    t.is(counted, 102);
    t.deepEqual(
      lines.map((line) => line.event === 'answer_refused' && [line.address, line.connections]),
      [
        ['10.0.0.1:80', 1],
        ['10.0.0.1:80', 60],
        ['10.0.0.2:80', 1],
        ['10.0.0.2:80', 1],
      ],
    );
  });
});
