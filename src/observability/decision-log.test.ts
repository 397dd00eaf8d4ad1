import winston from 'winston';
import { createSystemClock } from '../runtime/clock.js';
import { createTimerService } from '../runtime/timer-service.js';
import { describe } from '../test/describe.js';
import { createDecisionLog } from './decision-log.js';
import type { LogEvent } from './log-events.js';

const REFUSED: LogEvent = {
  event: 'request_refused',
  request: 'r',
  failure: 'overloaded',
  configurationVersion: 1,
  knowledgeAgeMs: 1,
};
const STARTED: LogEvent = { event: 'started', callers: 'c', peers: 'p' };

function createHarness(countUnreadBytes: () => number) {
  const lines: string[] = [];
  const timers = createTimerService(createSystemClock());
  const logger = winston.createLogger({
    format: winston.format.printf(({ message, kind, lines: left }) => {
      lines.push([message, kind, left].filter((part) => part !== undefined).join(' '));
      return '';
    }),
    transports: [new winston.transports.Console({ silent: true })],
  });
  return { lines, timers, log: createDecisionLog({ logger, timers, countUnreadBytes }) };
}

describe('decision log', ({ it }) => {
  // Guards against a burst of refusals displacing lines on the state of the process.
  it('limits lines on refusals and reports the number dropped', async (t) => {
    const { lines, timers, log } = createHarness(() => 0);
    for (let count = 0; count < 1000; count += 1) log.write(REFUSED);
    log.write(STARTED);
    t.is(lines.filter((line) => line === 'request_refused').length, 60);
    t.true(lines.includes('started'));
    await new Promise((resolve) => {
      setTimeout(resolve, 1100);
    });
    t.true(lines.includes('lines_left_out failure 940'), lines.at(-1));
    timers.stop();
  });

  // Guards against unbounded memory use if the reader of the log stops reading.
  it('drops lines while too much output is unread', (t) => {
    const { lines, timers, log } = createHarness(() => 10_000_000);
    log.write(STARTED);
    t.deepEqual(lines, []);
    timers.stop();
  });
});
