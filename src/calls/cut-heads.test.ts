import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { createEndpointConnections } from './endpoint-connections.js';
import type { EndpointConnections } from './endpoint-connections.js';
import { closeWithReset } from '../runtime/close-with-reset.js';

const OWN_HEADERS = 'X-Signature: s\r\nX-Call: c\r\n';
const INFORMATIONAL = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
const CLOSING_INFORMATIONAL = 'HTTP/1.1 103 Early Hints\r\nConnection: close\r\nLink: </a>\r\n\r\n';
const BODY = 'whole body';
const HEADS = [
  `HTTP/1.1 200 OK\r\n${OWN_HEADERS}Content-Length: ${BODY.length}\r\n\r\n`,
  `HTTP/1.1 200 OK\r\n${OWN_HEADERS}Transfer-Encoding: chunked\r\n\r\n`,
  `HTTP/1.1 200 OK\r\n${OWN_HEADERS}Connection: close\r\n\r\n`,
  `HTTP/1.0 200 OK\r\n${OWN_HEADERS}\r\n`,
  `${INFORMATIONAL}HTTP/1.1 200 OK\r\n${OWN_HEADERS}Content-Length: ${BODY.length}\r\n\r\n`,
  `${CLOSING_INFORMATIONAL}HTTP/1.1 200 OK\r\n${OWN_HEADERS}Connection: close\r\n\r\n`,
  `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n${OWN_HEADERS}\r\n`,
];
/** A head that is complete though its body never comes counts as cut, too. */
const CUTS = HEADS.flatMap((head) =>
  Array.from({ length: head.length + 1 }, (_, length) => head.slice(0, length)),
);

const CUT = {
  Close: (socket: Socket, bytes: string) => socket.end(bytes),
  Reset: (socket: Socket, bytes: string) => socket.write(bytes, () => closeWithReset(socket)),
} as const;

async function startServer(onRequest: (socket: Socket) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => onRequest(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

/** Whether the exchange ended as whole, and whether its request was said to be sent. */
function runExchange(connections: EndpointConnections, server: Server) {
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return new Promise<{ readonly isWhole: boolean; readonly isSent: boolean }>((resolve) => {
    connections.open(
      address,
      8,
      { method: 'POST', target: '/x', headers: [], body: Buffer.from('order') },
      {
        isSendAllowed: () => true,
        onWithheld: () => resolve({ isWhole: false, isSent: false }),
        onHead: () => true,
        onData: () => true,
        onEnd: () => resolve({ isWhole: true, isSent: true }),
        onError: (isSent) => resolve({ isWhole: false, isSent }),
      },
    );
  });
}

async function assertAllBroken(t: ExecutionContext, cut: (socket: Socket, bytes: string) => void) {
  const connections = createEndpointConnections();
  let bytes = '';
  let requests = 0;
  const server = await startServer((socket) => {
    requests += 1;
    cut(socket, bytes);
  });
  t.teardown(async () => {
    await connections.close();
    server.close();
  });
  for (const [index, cutHead] of CUTS.entries()) {
    bytes = cutHead;
    // One exchange after the other, each right after the end of the one before.
    // eslint-disable-next-line no-await-in-loop
    const { isWhole, isSent } = await runExchange(connections, server);
    t.false(isWhole, `whole after ${JSON.stringify(bytes)}`);
    t.true(isSent);
    t.is(requests, index + 1, `not sent after ${JSON.stringify(CUTS[index - 1])}`);
  }
}

describe('an answer whose head is cut', ({ it }) => {
  // Guards against a success without a body from an endpoint that ended within the head of its answer.
  it('is broken off when the connection is closed', (t) => assertAllBroken(t, CUT.Close));

  it('is broken off when the connection is reset', (t) => assertAllBroken(t, CUT.Reset));
});
