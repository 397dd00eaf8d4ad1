import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { once } from 'node:events';
import type { ExecutionContext } from 'ava';
import { createSystemClock } from '../runtime/clock.js';
import { createTimerService } from '../runtime/timer-service.js';
import { describe } from '../test/describe.js';
import { openDatagramSocket } from './datagram-socket.js';

const HOST = '127.0.0.1';
const ATTEMPTS_MAX = 60;

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function openObserved(t: ExecutionContext, port = 0) {
  const timers = createTimerService(createSystemClock());
  t.teardown(() => timers.stop());
  const sockets: Socket[] = [];
  const socket = await openDatagramSocket({
    address: `${HOST}:${port}`,
    timers,
    createSystemSocket() {
      const created = createSocket('udp4');
      sockets.push(created);
      return created;
    },
  });
  t.teardown(() => socket.close());
  return { socket, sockets };
}

function createFailure(syscall: string): Error {
  return Object.assign(new Error(`${syscall} ENOBUFS`), { code: 'ENOBUFS', syscall });
}

/** Sends until a datagram arrives; returns whether one did. */
async function checkHears(sender: Socket, port: number, received: unknown[]): Promise<boolean> {
  const before = received.length;
  for (let attempt = 0; attempt < ATTEMPTS_MAX && received.length === before; attempt += 1) {
    sender.send('a', port, HOST);
    // Attempts are spaced in time.
    // eslint-disable-next-line no-await-in-loop
    await waitMs(50);
  }
  return received.length > before;
}

async function openPair(t: ExecutionContext) {
  const probe = createSocket('udp4').bind(0, HOST);
  await once(probe, 'listening');
  const { port } = probe.address();
  probe.close();
  await once(probe, 'close');
  const { socket, sockets } = await openObserved(t, port);
  const received: unknown[] = [];
  const errors: string[] = [];
  socket.onMessage((bytes) => received.push(bytes));
  socket.onError((reason) => errors.push(reason));
  const sender = createSocket('udp4');
  t.teardown(() => sender.close());
  return { sockets, port, received, errors, sender };
}

describe('a datagram socket', ({ it }) => {
  // Guards against an instance that hears no peer any more after its socket has failed once.
  it('is opened anew after it has failed, also if its port is held meanwhile', async (t) => {
    const { sockets, port, received, errors, sender } = await openPair(t);
    t.true(await checkHears(sender, port, received));
    const holder = createSocket('udp4');
    sockets[0]?.once('close', () => holder.bind(port, HOST));
    sockets[0]?.emit('error', createFailure('recvmsg'));
    await once(holder, 'listening');
    await waitMs(250);
    holder.close();
    t.true(await checkHears(sender, port, received), errors.join('; '));
    t.true(sockets.length >= 3, `${sockets.length} sockets`);
  });

  // Guards against sockets that are replaced for one datagram that cannot be sent.
  it('stays open if a datagram cannot be sent', async (t) => {
    const { sockets, port, received, errors, sender } = await openPair(t);
    sockets[0]?.emit('error', createFailure('send'));
    sockets[0]?.emit('error', createFailure('getaddrinfo'));
    t.true(await checkHears(sender, port, received));
    t.is(sockets.length, 1);
    t.is(errors.length, 2);
  });

  // Guards against a start that goes on without hearing its peers.
  it('is not opened while its port is held', async (t) => {
    const holder = createSocket('udp4').bind(0, HOST);
    await once(holder, 'listening');
    t.teardown(() => holder.close());
    const error = await t.throwsAsync(openObserved(t, holder.address().port));
    t.is((error as NodeJS.ErrnoException).code, 'EADDRINUSE');
  });
});
