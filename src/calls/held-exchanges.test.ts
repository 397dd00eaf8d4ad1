import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { createEndpointConnections } from './endpoint-connections.js';
import type { ExchangeFlow } from './endpoint-connections.js';
import { closeWithReset } from '../runtime/close-with-reset.js';

const HEAD_WITH_LENGTH = 'HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n';
const HEAD_UNTIL_CLOSE = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
const BODY_BYTES = 200_000;
const BODY = 'x'.repeat(BODY_BYTES);
const PART = 'part';
const WAIT_MS = 300;

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function startSetup(t: ExecutionContext, onRequest: (socket: Socket) => void) {
  const connections = createEndpointConnections();
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => onRequest(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(async () => {
    await connections.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return {
    /** `onFirst`: called within the handling of the first piece of the body. */
    open(onFirst: (flow: ExchangeFlow) => void) {
      const flow: ExchangeFlow = { pause: () => undefined, resume: () => undefined };
      const state = { flow, end: 'open', bodyBytes: 0 };
      connections.open(
        address,
        8,
        { method: 'GET', target: '/', headers: [], body: Buffer.alloc(0) },
        {
          isSendAllowed: () => true,
          onWithheld: () => undefined,
          onHead: () => true,
          onData(bytes) {
            if (state.bodyBytes === 0) onFirst(flow);
            state.bodyBytes += bytes.length;
            return true;
          },
          onEnd: () => {
            state.end = 'whole';
          },
          onError: (_, reason) => {
            state.end = `broken: ${reason}`;
          },
        },
        flow,
      );
      return state;
    },
  };
}

describe('exchanges that are held', ({ it }) => {
  // Guards against answers that never go on since memory came free within the handling of another answer.
  it('go on if they are resumed while a piece of another one is handled', async (t) => {
    const setup = await startSetup(t, (socket) => socket.write(HEAD_WITH_LENGTH + BODY));
    const held = setup.open(({ pause }) => pause());
    await waitMs(WAIT_MS);
    t.is(held.end, 'open');
    const other = setup.open(() => held.flow.resume());
    await waitMs(WAIT_MS);
    t.is(other.end, 'whole');
    t.is(held.end, 'whole');
    t.is(held.bodyBytes, BODY_BYTES);
  });

  // Guards against an assertion of the client that ends the process.
  it('end with an error if the endpoint resets its connection meanwhile', async (t) => {
    let endpointSocket: Socket | undefined;
    const setup = await startSetup(t, (socket) => {
      endpointSocket = socket;
      socket.write(HEAD_UNTIL_CLOSE + PART);
    });
    const held = setup.open(({ pause }) => pause());
    await waitMs(WAIT_MS);
    closeWithReset(endpointSocket);
    await waitMs(WAIT_MS);
    held.flow.resume();
    await waitMs(WAIT_MS);
    t.regex(held.end, /^broken/);
  });

  const FRAMINGS = [
    ['by its connection', HEAD_UNTIL_CLOSE],
    [
      'by its length',
      `HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ${PART.length}\r\n\r\n`,
    ],
  ] as const;
  for (const [name, head] of FRAMINGS) {
    // Guards against an assertion of the client that ends the process.
    it(`end as usual if the endpoint closes its connection meanwhile, ended ${name}`, async (t) => {
      const setup = await startSetup(t, (socket) => {
        socket.write(head + PART);
        setTimeout(() => socket.end(), WAIT_MS / 3);
      });
      const held = setup.open(({ pause }) => pause());
      await waitMs(WAIT_MS);
      t.is(held.end, 'open');
      held.flow.resume();
      await waitMs(WAIT_MS);
      t.is(held.bodyBytes, PART.length);
      t.not(held.end, 'open');
    });
  }

  // Guards against a hold that comes after the last piece, and an end that is then never read.
  it('end as usual if they are held after their last piece', async (t) => {
    let endpointSocket: Socket | undefined;
    const setup = await startSetup(t, (socket) => {
      endpointSocket = socket;
      socket.write(HEAD_UNTIL_CLOSE + PART);
    });
    const held = setup.open(() => undefined);
    await waitMs(WAIT_MS);
    held.flow.pause();
    endpointSocket?.end();
    await waitMs(WAIT_MS);
    held.flow.resume();
    await waitMs(WAIT_MS);
    t.not(held.end, 'open');
  });
});
