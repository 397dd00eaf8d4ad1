import { once } from 'node:events';
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { connect } from 'node:net';
import { describe } from '../test/describe.js';
import { createOpenResponses } from './open-responses.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

async function startServer() {
  const responses: ServerResponse[] = [];
  const server = createServer((_, response) => responses.push(response));
  const openResponses = createOpenResponses(server, () => false);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    responses,
    openResponses,
    async openConnection() {
      const socket = connect(port, '127.0.0.1');
      await once(socket, 'connect');
      return socket;
    },
    async waitForRequest(count: number) {
      while (responses.length < count) {
        // Sequential: each request is its own event.
        // eslint-disable-next-line no-await-in-loop
        await once(server, 'request');
      }
    },
    stop() {
      server.closeAllConnections();
      server.close();
    },
  };
}

describe('connections that are closed as they become idle', ({ it }) => {
  // Guards against connections that callers reuse until the process ends, and then lose a request on.
  it('are closed at once without a request, and after the answer with one', async (t) => {
    const server = await startServer();
    t.teardown(() => server.stop());
    const unused = await server.openConnection();
    const used = await server.openConnection();
    const busy = await server.openConnection();
    used.write(REQUEST);
    await server.waitForRequest(1);
    server.responses[0]?.end('first');
    await once(used, 'data');
    busy.write(REQUEST);
    await server.waitForRequest(2);
    let text = '';
    busy.on('data', (bytes: Buffer) => {
      text += bytes.toString();
    });
    for (const socket of [unused, used]) socket.resume();
    server.openResponses.closeIdle();
    await Promise.all([once(unused, 'end'), once(used, 'end')]);
    t.is(server.openResponses.count(), 1);
    t.false(busy.readableEnded);
    server.responses[1]?.end('second');
    await once(busy, 'end');
    t.regex(text, /second$/);
    t.is(server.openResponses.count(), 0);
  });

  // Guards against a request that has arrived when its connection closes, and gets no answer.
  it('are closed after the answer to a request that has arrived and is not read yet', async (t) => {
    const server = await startServer();
    t.teardown(() => server.stop());
    const socket = await server.openConnection();
    let text = '';
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString();
    });
    // Until the server has seen the connection.
    const used = await server.openConnection();
    used.resume().write(REQUEST);
    await server.waitForRequest(1);
    socket.write(REQUEST);
    server.openResponses.closeIdle();
    await Promise.race([server.waitForRequest(2), once(socket, 'end')]);
    server.responses[1]?.end('arrived');
    await once(socket, 'close');
    t.regex(text, /arrived$/);
  });

  // Guards against a connection that closes after one answer while a request behind it waits for its turn.
  it('are closed after the answers of all pipelined requests', async (t) => {
    const server = await startServer();
    t.teardown(() => server.stop());
    const socket = await server.openConnection();
    let text = '';
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString();
    });
    socket.write(REQUEST + REQUEST);
    await server.waitForRequest(2);
    server.openResponses.closeIdle();
    const [first, second] = server.responses;
    first?.end('first');
    await once(socket, 'data');
    second?.end('second');
    await once(socket, 'end');
    t.regex(text, /first[^]*second$/);
  });

  // Guards against a last answer that is told as such while another is open, and a request served after it.
  it('are closed by the word of the answer that is last on its connection', async (t) => {
    const server = await startServer();
    t.teardown(() => server.stop());
    const socket = await server.openConnection();
    socket.resume();
    socket.write(REQUEST + REQUEST);
    await server.waitForRequest(2);
    const { openResponses, responses } = server;
    const [first, second] = responses as [ServerResponse, ServerResponse];
    t.false(openResponses.closeAfter(second), 'the first would not be answered');
    t.false(openResponses.closeAfter(first), 'the second would not be answered');
    first.end('first');
    await once(first, 'close');
    t.false(openResponses.isClosing(second.req.socket));
    t.true(openResponses.closeAfter(second));
    t.true(openResponses.isClosing(second.req.socket));
  });
});
