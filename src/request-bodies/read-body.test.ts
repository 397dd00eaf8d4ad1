import { createServer } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { ExecutionContext } from 'ava';
import { createMemoryBudget } from '../memory/memory-budget.js';
import { describe } from '../test/describe.js';
import { readBody } from './read-body.js';

const MEGABYTE = 1024 * 1024;
const TOTAL_BYTES = 72 * MEGABYTE;
const BODY_BYTES_MAX = 4 * MEGABYTE;
const CHUNK_BYTES = 64 * 1024;
const CHUNK = `${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`;
/** Size of the blocks that are used again. */
const BLOCK_BYTES = 64 * 1024;

/** Sends so many bytes of a body in chunks, without its end; resolves once it is refused or broken off. */
async function sendUnfinished(t: ExecutionContext, bytes: number, isBrokenOff: boolean) {
  const budget = createMemoryBudget(TOTAL_BYTES);
  const read = new Promise<string>((resolve) => {
    const server = createServer((request: IncomingMessage) => {
      readBody(request, { bytesMax: BODY_BYTES_MAX, budget, owner: 'a' }).then(
        ({ kind }) => resolve(kind),
        () => resolve('broken off'),
      );
    });
    t.teardown(() => {
      server.closeAllConnections();
      server.close();
    });
    server.listen(0, '127.0.0.1', () => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
      socket.on('error', () => undefined);
      socket.write('POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n');
      for (let sent = 0; sent < bytes; sent += CHUNK_BYTES) socket.write(CHUNK);
      if (isBrokenOff) socket.write('', () => setTimeout(() => socket.destroy(), 100));
    });
  });
  const kind = await read;
  return { kind, used: budget.getUsed() };
}

/** Counts the blocks that are allocated meanwhile. */
async function countBlocks(run: () => Promise<unknown>): Promise<number> {
  const allocate = Buffer.allocUnsafeSlow;
  let count = 0;
  Buffer.allocUnsafeSlow = (size) => {
    if (size === BLOCK_BYTES) count += 1;
    return allocate(size);
  };
  try {
    await run();
  } finally {
    Buffer.allocUnsafeSlow = allocate;
  }
  return count;
}

describe('memory of a body that is not kept', ({ itSerial }) => {
  // Guards against blocks that only the garbage collector gives back, late, while more bodies come.
  itSerial('is used again after a body that is too large', async (t) => {
    const send = () => sendUnfinished(t, 2 * BODY_BYTES_MAX + MEGABYTE, false);
    const { kind, used } = await send();
    t.is(kind, 'too_large');
    t.is(used, 0);
    t.is(await countBlocks(send), 0);
  });

  itSerial('is used again after a caller that left', async (t) => {
    const send = () => sendUnfinished(t, BODY_BYTES_MAX / 2, true);
    const { kind, used } = await send();
    t.is(kind, 'broken off');
    t.is(used, 0);
    t.is(await countBlocks(send), 0);
  });
});
