import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { describe } from '../test/describe.js';
import { createGuardedAgent, createGuardedClient, createGuardedPool } from './guarded-client.js';

const MB = 1024 * 1024;
const INFORMATIONAL = 'HTTP/1.1 102 Processing\r\n\r\n';
const LONG_TEXT = 'x'.repeat(64 * 1024);
const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

async function startServer(
  t: ExecutionContext,
  onRequest: (socket: Socket, count: number) => void,
) {
  const sockets = new Set<Socket>();
  let count = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      count += 1;
      onRequest(socket, count);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function writeEndlessly(socket: Socket, block: string): void {
  const writeBlocks = (): void => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on('drain', writeBlocks);
  writeBlocks();
}

const CLIENTS: Readonly<Record<string, (origin: string) => Dispatcher>> = {
  client: (origin) => createGuardedClient(origin),
  pool: (origin) => createGuardedPool(origin, { connections: 2 }),
  agent: () => createGuardedAgent(),
};

describe('a guarded client', ({ describe: describeInner }) => {
  for (const [name, createClient] of Object.entries(CLIENTS)) {
    describeInner(`made as ${name}`, ({ it }) => {
      const setUp = (t: ExecutionContext, origin: string) => {
        const dispatcher = createClient(origin);
        t.teardown(() => dispatcher.destroy());
        return async (): Promise<string> => {
          const signal = AbortSignal.timeout(10_000);
          const response = await request(`${origin}/x`, { dispatcher, signal });
          return response.body.text();
        };
      };

      // Guards against a service whose heads without end keep the process from its calls.
      it('gives up informational heads without end', async (t) => {
        const origin = await startServer(t, (socket) =>
          writeEndlessly(socket, INFORMATIONAL.repeat(2000)),
        );
        await t.throwsAsync(setUp(t, origin), { message: /informational heads/ });
      });

      it('gives up a chunk extension without end', async (t) => {
        const origin = await startServer(t, (socket) => {
          socket.write(`${HEAD}1;`);
          writeEndlessly(socket, LONG_TEXT);
        });
        await t.throwsAsync(setUp(t, origin), { message: /no body of the answer/ });
      });

      it('reads large answers, one after the other, also after a failed one', async (t) => {
        const body = 'x'.repeat(4 * MB);
        const origin = await startServer(t, (socket, count) => {
          if (count === 2) socket.destroy();
          else
            socket.write(
              `${INFORMATIONAL}HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
            );
        });
        const send = setUp(t, origin);
        t.is((await send()).length, body.length);
        await t.throwsAsync(send);
        t.is((await send()).length, body.length);
        const lengths = await Promise.all([send(), send(), send()]);
        t.deepEqual(
          lengths.map((text) => text.length),
          Array(3).fill(body.length),
        );
      });

      // Guards against an answer that is given up since a request behind it has failed.
      it('reads an answer on while a request behind it is given up', async (t) => {
        const origin = await startServer(t, (socket) => {
          socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfi');
          setTimeout(() => socket.write('ne'), 100);
        });
        const dispatcher = createClient(origin);
        t.teardown(() => dispatcher.destroy());
        const first = request(`${origin}/x`, { dispatcher });
        const second = request(`${origin}/x`, { dispatcher, signal: AbortSignal.timeout(30) });
        await Promise.allSettled([second.then(({ body }) => body.text())]);
        t.is(await (await first).body.text(), 'fine');
      });
    });
  }
});
