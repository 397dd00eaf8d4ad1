import { once } from 'node:events';
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe } from '../test/describe.js';
import { closeQueued } from './close-queued.js';

const REQUESTS_SENT = 2;

describe('a response that waits for its turn', ({ it }) => {
  // Guards against memory of an answer that the answer before it waits for.
  it('closes at once if it is broken off, and its connection after the answers before it', async (t) => {
    const responses: ServerResponse[] = [];
    const server = createServer((_, response) => {
      responses.push(response);
      if (responses.length === REQUESTS_SENT) server.emit('all');
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    t.teardown(() => server.close());
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    let text = '';
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString('latin1');
    });
    socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(REQUESTS_SENT));
    await once(server, 'all');
    const [first, second] = responses as [ServerResponse, ServerResponse];
    let closedCount = 0;
    second.once('close', () => {
      closedCount += 1;
    });
    second.end('second');
    closeQueued(first);
    closeQueued(second);
    t.is(closedCount, 1);
    first.end('first');
    await once(socket, 'close');
    t.true(text.endsWith('first'), text);
  });
});
