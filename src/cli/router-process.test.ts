/** Starts the router's binary beside a holder of its port, and sends it signals. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { fileURLToPath } from 'node:url';
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { TEST_SECRET, listPlatformFlags } from '../test/processes.js';

const PROGRAM = fileURLToPath(new URL('router-main.js', import.meta.url));
/** Nobody listens here: the start needs no platform. */
const PLATFORM_URL = 'http://127.0.0.1:9';
const TIMEOUT_MS = 15_000;

function startRouter(t: ExecutionContext, operators: string) {
  const child = spawn(process.execPath, [
    PROGRAM,
    ...['--name', 'front-1', '--data-centre', 'hall', '--operators', operators],
    ...listPlatformFlags(PLATFORM_URL),
    ...['--platform-instances', PLATFORM_URL, '--platform-token', TEST_SECRET],
    ...['--peer-secret', TEST_SECRET, '--operator-secret', TEST_SECRET, '--log-level', 'info'],
  ]);
  t.teardown(() => child.kill('SIGKILL'));
  let output = '';
  let isOver = false;
  const read = (chunk: Buffer): void => {
    output += chunk.toString();
  };
  child.stdout.on('data', read);
  child.stderr.on('data', read);
  const ended = once(child, 'close').then(([code]) => {
    isOver = true;
    return code as number | null;
  });
  return {
    child,
    ended,
    getOutput: () => output,
    async waitForText(text: string): Promise<boolean> {
      const endMs = performance.now() + TIMEOUT_MS;
      while (!output.includes(text) && !isOver && performance.now() < endMs) {
        // Polls sequentially.
        // eslint-disable-next-line no-await-in-loop
        await new Promise((resolve) => {
          setTimeout(resolve, 10);
        });
      }
      return output.includes(text);
    },
  };
}

describe('the router binary', ({ it }) => {
  // Guards against a binary that ends beside a predecessor, or by a reload of all processes.
  it('waits for its port, goes on after SIGHUP and drains after SIGTERM', async (t) => {
    const holder = createServer().listen(0, '127.0.0.1');
    await once(holder, 'listening');
    t.teardown(() => holder.close());
    const { port } = holder.address() as AddressInfo;
    const router = startRouter(t, `127.0.0.1:${port}`);
    t.true(await router.waitForText('a port is held; waiting for it'), router.getOutput());
    router.child.kill('SIGHUP');
    t.true(await router.waitForText('settings_reloaded'), router.getOutput());
    holder.close();
    t.true(await router.waitForText('"event":"listening"'), router.getOutput());
    router.child.kill('SIGTERM');
    t.is(await router.ended, 0, router.getOutput());
    t.regex(router.getOutput(), /process_ended/);
  });
});
