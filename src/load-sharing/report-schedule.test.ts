import { describe } from '../test/describe.js';
import { createReportSchedule } from './report-schedule.js';

describe('report schedule', ({ it }) => {
  // Guards against a change that a single lost datagram keeps from the others.
  it('repeats a change four times in a row and then reports once a second', (t) => {
    const schedule = createReportSchedule();
    schedule.recordChange();
    const due = Array.from({ length: 20 }, (_, period) => schedule.takeDue(period * 100));
    t.deepEqual(
      due.flatMap((isDue, period) => (isDue ? [period] : [])),
      [0, 1, 2, 3, 13],
    );
  });
});
