import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { request } from 'undici';
import { describe } from '../test/describe.js';
import { readText } from './read-text.js';

describe('text of a response', ({ it }) => {
  // Guards against a body without end that takes the process's memory.
  it('is given up beyond its limit, and its connection closed', async (t) => {
    const filler = Buffer.alloc(64 * 1024, 'x');
    let isClosed = false;
    const server = createServer((_, response) => {
      const writeMore = (): void => {
        if (!response.destroyed) response.write(filler, () => setImmediate(writeMore));
      };
      response.on('close', () => {
        isClosed = true;
      });
      writeMore();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    t.teardown(() => server.close());
    const { port } = server.address() as AddressInfo;
    const { body } = await request(`http://127.0.0.1:${port}/`);
    await t.throwsAsync(readText(body, 1024 * 1024), { message: /exceeds 1048576 bytes/ });
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    t.true(isClosed);
  });

  it('is whole below it', async (t) => {
    async function* listChunks(): AsyncGenerator<Uint8Array> {
      yield Buffer.from('grö');
      yield Buffer.from('ße');
    }
    t.is(await readText(listChunks()), 'größe');
  });
});
