import { describe } from '../test/describe.js';
import { createMemoryWatch } from './process-health.js';

const MB = 1024 * 1024;

describe('the watch over the memory of a process', ({ it }) => {
  // Guards against a process that the system ends for its memory without a line that says so before.
  it('says once when the memory passes its bound, and once when it is low again', (t) => {
    let residentBytes = 100 * MB;
    const changes: boolean[] = [];
    const checkMemory = createMemoryWatch({
      getResidentBytes: () => residentBytes,
      machineBytes: 250 * MB,
      onChanged: ({ isHigh }) => changes.push(isHigh),
    });
    for (const megabytes of [110, 199, 201, 240, 190, 176, 174, 199, 201]) {
      residentBytes = megabytes * MB;
      checkMemory();
    }
    t.deepEqual(changes, [true, false, true]);
  });
});
