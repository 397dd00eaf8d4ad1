import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { describe } from '../test/describe.js';
import { createEndpointConnections } from './endpoint-connections.js';
import type { EndpointConnections, EndpointRequest } from './endpoint-connections.js';
import { closeWithReset } from '../runtime/close-with-reset.js';

const REQUEST: EndpointRequest = {
  method: 'POST',
  target: '/x',
  headers: [{ name: 'host', value: 'h.example' }],
  body: Buffer.from('order'),
};

interface Outcome {
  readonly end: 'whole' | 'sent' | 'unsent' | 'withheld';
  readonly body: string;
}

async function startEndpoint(onRequest: (socket: Socket, count: number) => void): Promise<Server> {
  let count = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      count += 1;
      onRequest(socket, count);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
}

function getAddress(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function runExchange(
  connections: EndpointConnections,
  address: string,
  isSendAllowed = true,
  request = REQUEST,
): Promise<Outcome> {
  return new Promise((resolve) => {
    let body = '';
    connections.open(address, 8, request, {
      isSendAllowed: () => isSendAllowed,
      onWithheld: () => resolve({ end: 'withheld', body }),
      onHead: () => true,
      onData(bytes) {
        body += bytes.toString();
        return true;
      },
      onEnd: () => resolve({ end: 'whole', body }),
      onError: (isSent) => resolve({ end: isSent ? 'sent' : 'unsent', body }),
    });
  });
}

describe('endpoint connections', ({ it }) => {
  // Guards against delivering a truncated response as complete when the reset arrives with its last bytes.
  it('distinguish a reset from the end of a response without a length', async (t) => {
    const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal';
    const server = await startEndpoint((socket, count) => {
      if (count === 1) socket.end(`${head}lo`);
      else socket.write(head, () => closeWithReset(socket));
    });
    const connections = createEndpointConnections();
    t.deepEqual(await runExchange(connections, getAddress(server)), {
      end: 'whole',
      body: 'hallo',
    });
    const broken = await runExchange(connections, getAddress(server));
    t.is(broken.end, 'sent');
    await connections.close();
    server.close();
  });

  // Guards against a request that is placed before, and written after, the endpoint says it takes no more.
  it('send nothing that is no longer allowed once the connection is open', async (t) => {
    let requests = 0;
    const server = await startEndpoint((socket) => {
      requests += 1;
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    });
    const connections = createEndpointConnections();
    t.is((await runExchange(connections, getAddress(server), false)).end, 'withheld');
    t.is(requests, 0);
    t.is((await runExchange(connections, getAddress(server))).end, 'whole');
    t.is(requests, 1);
    await connections.close();
    server.close();
  });

  // Guards against a request that makes sound endpoints count as unreachable.
  it('withhold a request that cannot be written, and judge no endpoint by it', async (t) => {
    const server = await startEndpoint(() => t.fail('it was sent'));
    const connections = createEndpointConnections();
    const host = { name: 'host', value: 'h.example' };
    for (const headers of [[host, host], [{ name: 'upgrade', value: 'x' }]]) {
      // One after the other.
      // eslint-disable-next-line no-await-in-loop
      const { end } = await runExchange(connections, getAddress(server), true, {
        ...REQUEST,
        headers,
      });
      t.is(end, 'withheld');
    }
    await connections.close();
    server.close();
  });

  it('report that nothing was sent if no connection was established', async (t) => {
    const server = await startEndpoint(() => undefined);
    const address = getAddress(server);
    await new Promise((resolve) => {
      server.close(resolve);
    });
    const connections = createEndpointConnections();
    t.is((await runExchange(connections, address)).end, 'unsent');
    await connections.close();
  });

  // Guards against reading surplus bytes after a response as the response to the next request.
  it('do not reuse a connection that received surplus bytes', async (t) => {
    const answer = (body: string): string => `HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n${body}`;
    const server = await startEndpoint((socket, count) => {
      socket.write(count === 1 ? `${answer('ok')}${answer('xx')}` : answer('ok'));
    });
    const connections = createEndpointConnections();
    t.is((await runExchange(connections, getAddress(server))).body, 'ok');
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    t.is((await runExchange(connections, getAddress(server))).body, 'ok');
    t.is(connections.countOpened(), 2);
    await connections.close();
    server.close();
  });

  // Guards against a call that is given a connection about to close and counts as sent, though it never was.
  it('do not reuse a connection that the endpoint closes after its answer', async (t) => {
    const answers = [
      'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole',
      'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole',
    ];
    let requests = 0;
    const server = await startEndpoint((socket, count) => {
      requests = count;
      socket.end(answers[count % answers.length] ?? '');
    });
    const connections = createEndpointConnections();
    t.teardown(async () => {
      await connections.close();
      server.close();
    });
    for (let count = 1; count <= 20; count += 1) {
      // Each exchange starts at the end of the one before.
      // eslint-disable-next-line no-await-in-loop
      const outcome = await runExchange(connections, getAddress(server));
      t.deepEqual(outcome, { end: 'whole', body: 'whole' }, `exchange ${count}`);
      t.is(requests, count);
    }
  });

  it('reuse an idle connection', async (t) => {
    const server = await startEndpoint((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok');
    });
    const connections = createEndpointConnections();
    await runExchange(connections, getAddress(server));
    await runExchange(connections, getAddress(server));
    t.is(connections.countOpened(), 1);
    await connections.close();
    server.close();
  });
});
