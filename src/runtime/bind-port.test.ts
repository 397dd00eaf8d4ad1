import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { once } from 'node:events';
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { PortUnavailableError, createPortBinder } from './bind-port.js';
import type { PortWait } from './bind-port.js';
import { createSystemClock } from './clock.js';
import { createTimerService } from './timer-service.js';

const PORT = { role: 'callers', address: '127.0.0.1:8227' } as const;

function createBinder(t: ExecutionContext, waitMaxMs: number) {
  const timers = createTimerService(createSystemClock());
  t.teardown(() => timers.stop());
  const abort = new AbortController();
  const waits: PortWait[] = [];
  const binder = createPortBinder({
    timers,
    waitMaxMs,
    stop: abort.signal,
    onWait: (wait) => waits.push(wait),
    onServerError: () => undefined,
  });
  return { binder, abort, waits };
}

function createFailure(code: string): Error {
  return Object.assign(new Error(`listen ${code}`), { code, syscall: 'listen' });
}

/** Builds an attempt that fails a few times. */
function buildAttempt(code: string, failures: number) {
  const calls = { count: 0 };
  const tryBind = (): Promise<string> => {
    calls.count += 1;
    return calls.count <= failures ? Promise.reject(createFailure(code)) : Promise.resolve('bound');
  };
  return { calls, tryBind };
}

describe('a port of a start', ({ describe: describeBlock, it }) => {
  ['EADDRINUSE', 'EADDRNOTAVAIL'].forEach((code) => {
    // Guards against an end of the process beside a predecessor, or before its address is there.
    it(`is waited for after ${code}, with one line`, async (t) => {
      const { binder, waits } = createBinder(t, 5000);
      const { calls, tryBind } = buildAttempt(code, 4);
      t.is(await binder.open(PORT, tryBind), 'bound');
      t.is(calls.count, 5);
      t.is(waits.length, 1);
      t.like(waits[0], { ...PORT, reason: `listen ${code}` });
    });
  });

  // Guards against a start that waits for what no time mends.
  it('is not waited for if the process may not have it', async (t) => {
    const { binder, waits } = createBinder(t, 5000);
    const { calls, tryBind } = buildAttempt('EACCES', 9);
    const error = await t.throwsAsync(binder.open(PORT, tryBind), {
      instanceOf: PortUnavailableError,
    });
    t.regex(error?.message ?? '', /callers, 127\.0\.0\.1:8227.*EACCES.*set another address/);
    t.is(calls.count, 1);
    t.deepEqual(waits, []);
  });

  // Guards against a wait without an end.
  it('is given up after the time of the whole start', async (t) => {
    const { binder } = createBinder(t, 300);
    const { tryBind } = buildAttempt('EADDRINUSE', Infinity);
    const beganMs = performance.now();
    await t.throwsAsync(binder.open(PORT, tryBind), { instanceOf: PortUnavailableError });
    const tookMs = performance.now() - beganMs;
    t.true(tookMs >= 290 && tookMs < 2000, `${tookMs} ms`);
  });

  // Guards against a stop that takes as long as the wait.
  it('is no longer waited for once the start is stopped', async (t) => {
    const { binder, abort } = createBinder(t, 60_000);
    const { tryBind } = buildAttempt('EADDRINUSE', Infinity);
    const bound = binder.open(PORT, tryBind);
    abort.abort(new Error('told to stop'));
    await t.throwsAsync(bound, { message: 'told to stop' });
  });

  describeBlock('of a server', ({ it: itOfServer }) => {
    // Guards against a server that cannot listen again after a failed attempt.
    itOfServer('is bound once its holder has closed it', async (t) => {
      const holder = createServer().listen(0, '127.0.0.1');
      await once(holder, 'listening');
      const { binder } = createBinder(t, 5000);
      const server = createServer();
      t.teardown(() => server.close());
      setTimeout(() => holder.close(), 200);
      const { port } = holder.address() as AddressInfo;
      await binder.openServer({ role: 'callers', address: `127.0.0.1:${port}` }, server);
      t.is((server.address() as AddressInfo).port, port);
    });
  });
});
