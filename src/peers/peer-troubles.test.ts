import { execFile } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { describe } from '../test/describe.js';

const PROGRAM = fileURLToPath(new URL('../test/peer-troubles-main.js', import.meta.url));
const TIMEOUT_MS = 30_000;

describe('links to peers in trouble', ({ it }) => {
  // Guards against a process that ends because of what a peer, or another program at its address, sends.
  it('leave no error uncaught', async (t) => {
    const { stdout } = await promisify(execFile)(process.execPath, [PROGRAM], {
      timeout: TIMEOUT_MS,
    });
    const { links, uncaught } = JSON.parse(stdout) as {
      readonly links: number;
      readonly uncaught: readonly unknown[];
    };
    t.true(links >= 150);
    t.deepEqual(uncaught, []);
  });
});
