import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import { closeWithReset } from '../runtime/close-with-reset.js';
import { describe } from '../test/describe.js';
import { createEndpointConnections } from './endpoint-connections.js';

const HEAD = 'HTTP/1.1 200 OK\r\nX-Signature: s\r\n';
const PART = 'part of the body';
const RESET_AFTER_MS = 40;

/** What an endpoint does with a long request. */
type Script = (socket: Socket) => void;

interface Outcome {
  readonly end: 'whole' | 'failed';
  readonly body: string;
}

/** The server reads nothing after the first piece of a request unless its script goes on. */
async function runExchange(t: ExecutionContext, bytes: number, script: Script): Promise<Outcome> {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.pause();
      script(socket);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const connections = createEndpointConnections();
  t.teardown(async () => {
    await connections.close();
    server.close();
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return new Promise((resolve) => {
    let body = '';
    connections.open(
      address,
      8,
      { method: 'POST', target: '/x', headers: [], body: Buffer.alloc(bytes, 'u') },
      {
        isSendAllowed: () => true,
        onWithheld: () => resolve({ end: 'failed', body }),
        onHead: () => true,
        onData(piece) {
          body += piece.toString();
          return true;
        },
        onEnd: () => resolve({ end: 'whole', body }),
        onError: () => resolve({ end: 'failed', body }),
      },
    );
  });
}

/** Ends its half of the connection in order, and resets the connection soon after. */
function closeThenReset(socket: Socket): void {
  socket.end(`${HEAD}\r\n${PART}`);
  setTimeout(() => closeWithReset(socket), RESET_AFTER_MS);
}

describe('an answer without a length to a request that is not read', ({ itSerial: it }) => {
  // Guards against part of an answer that is passed on as whole since its connection ended in order first.
  for (const bytes of [3_500_000, 400_000, 100_000]) {
    it(`is not whole if its connection is reset after its end (${bytes} bytes)`, async (t) => {
      t.is((await runExchange(t, bytes, closeThenReset)).end, 'failed');
    });
  }

  it('is not whole if its connection is reset', async (t) => {
    const { end } = await runExchange(t, 3_500_000, (socket) =>
      socket.write(`${HEAD}\r\n${PART}`, () => closeWithReset(socket)),
    );
    t.is(end, 'failed');
  });

  // Guards against failing an endpoint that answers before it has read a long request.
  it('is whole if its endpoint reads on', async (t) => {
    const outcome = await runExchange(t, 3_500_000, (socket) => {
      socket.end(`${HEAD}\r\n${PART}`);
      setTimeout(() => socket.resume(), RESET_AFTER_MS);
    });
    t.deepEqual(outcome, { end: 'whole', body: PART });
  });

  it('is whole with a length', async (t) => {
    const outcome = await runExchange(t, 3_500_000, (socket) => {
      socket.end(`${HEAD}Content-Length: ${PART.length}\r\n\r\n${PART}`);
      setTimeout(() => closeWithReset(socket), RESET_AFTER_MS);
    });
    t.deepEqual(outcome, { end: 'whole', body: PART });
  });

  it('is whole after a short request', async (t) => {
    t.deepEqual(await runExchange(t, 1000, (socket) => socket.end(`${HEAD}\r\n${PART}`)), {
      end: 'whole',
      body: PART,
    });
  });
});
