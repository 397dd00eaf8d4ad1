import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { closeWithReset } from './close-with-reset.js';

const CLOSED_WITHIN_MS = 1000;
/** More than the buffers of a connection take. */
const UNREAD_BYTES = 20_000_000;

/** Resolves to undefined if the promise does not in time. */
function waitInTime<Value>(t: ExecutionContext, promise: Promise<Value>) {
  const timeout = new Promise<undefined>((resolve) => {
    const timer = setTimeout(resolve, CLOSED_WITHIN_MS, undefined);
    t.teardown(() => clearTimeout(timer));
  });
  return Promise.race([promise, timeout]);
}

/** Opens a connection; returns how the other side sees its end, and whether the socket was closed. */
async function closeConnection(t: ExecutionContext, close: (socket: Socket) => void) {
  const errors: unknown[] = [];
  const server = createServer();
  const closed = new Promise<true>((resolve) => {
    server.on('connection', (socket) => {
      socket.on('error', (error) => errors.push(error));
      socket.on('close', () => resolve(true));
      close(socket);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  client.resume();
  const ended = new Promise<string | undefined>((resolve) => {
    client.on('error', ({ code }: NodeJS.ErrnoException) => resolve(code));
    client.on('end', () => resolve('end'));
  });
  const end = await waitInTime(t, ended);
  const isClosed = await waitInTime(t, closed);
  client.destroy();
  server.close();
  return { end, errors, isClosed };
}

describe('a connection that is reset', ({ itSerial }) => {
  // Guards against a socket that is never closed, so that its peer waits and the process cannot end.
  itSerial('is closed also if it has just been ended', async (t) => {
    const { end, errors, isClosed } = await closeConnection(t, (socket) => {
      socket.end();
      closeWithReset(socket);
    });
    t.deepEqual(errors, []);
    t.truthy(end);
    t.true(isClosed);
  });

  itSerial('tells its peer that it was reset', async (t) => {
    const { end, isClosed } = await closeConnection(t, closeWithReset);
    t.is(end, 'ECONNRESET');
    t.true(isClosed);
  });

  itSerial('is reset though it was ended with bytes that wait', async (t) => {
    const { end, isClosed } = await closeConnection(t, (socket) => {
      socket.end(Buffer.alloc(UNREAD_BYTES));
      closeWithReset(socket);
    });
    t.is(end, 'ECONNRESET');
    t.true(isClosed);
  });
});
