import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { createInstanceListClient } from './instance-list-client.js';

const LISTED = { name: 'a', address: '10.0.0.1:7000', dataCentre: 'hall', state: 'live' };

async function listFrom(t: ExecutionContext, body: string) {
  const server = createServer((_, response) => response.end(body));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return createInstanceListClient(`http://127.0.0.1:${port}`, 'token').list();
}

describe('list of instances', ({ it }) => {
  // Guards against one odd entry of another writer that hides all other instances.
  it('leaves out the entries that cannot be read', async (t) => {
    const odd = [
      null,
      7,
      [],
      { ...LISTED, name: '' },
      { ...LISTED, address: '10.0.0.1:65536' },
      { ...LISTED, address: 'nowhere' },
      { ...LISTED, state: 'odd' },
      { ...LISTED, dataCentre: [[[]]] },
    ];
    const listed = await listFrom(t, JSON.stringify([...odd, LISTED]));
    t.deepEqual(listed.unwrap(), [LISTED]);
  });

  // Guards against an error that nobody expects where an unreadable answer is.
  it('is an error if it is no list', async (t) => {
    for (const body of ['', '{', '{}', 'null', '['.repeat(100_000)]) {
      // One answer after the other.
      // eslint-disable-next-line no-await-in-loop
      t.true((await listFrom(t, body)).err, body.slice(0, 10));
    }
  });
});
