import { connect, createServer } from 'node:http2';
import type { ServerHttp2Stream } from 'node:http2';
import type { AddressInfo } from 'node:net';
import { describe } from '../test/describe.js';
import { createMetrics } from '../runtime/metrics.js';
import { createPeerOutbox } from './peer-outbox.js';
import { createPeerServer } from './peer-server.js';

const MB = 1024 * 1024;
const DELIVER_PATH = '/hyssoptally.peer.v1.PeerService/Deliver';
const STATUS_UNAUTHORIZED = 401;

describe('messages of peers without end', ({ it }) => {
  // Guards against a process that keeps the bodies of callers that are no peers.
  it('are refused by the secret before their body is read', async (t) => {
    const peer = createPeerServer();
    peer.start('secret', {
      onMessages: () => undefined,
      onFetchConfiguration: () => t.fail(),
      onQueryAttempt: () => 'unknown',
      onFetchKnowledge: () => t.fail(),
    });
    await new Promise<void>((resolve) => {
      peer.server.listen(0, '127.0.0.1', resolve);
    });
    const session = connect(`http://127.0.0.1:${(peer.server.address() as AddressInfo).port}`);
    t.teardown(async () => {
      session.destroy();
      await peer.close();
    });
    const stream = session.request({
      ':method': 'POST',
      ':path': DELIVER_PATH,
      'content-type': 'application/proto',
      authorization: 'Bearer another',
    });
    stream.on('error', () => undefined);
    stream.write(Buffer.alloc(1000));
    const status = await new Promise<number | undefined>((resolve) => {
      stream.once('response', (headers) => resolve(headers[':status']));
      setTimeout(() => resolve(undefined), 5000);
    });
    t.is(status, STATUS_UNAUTHORIZED);
  });

  // Guards against an answer of a faulty peer that is kept without a bound until its time limit.
  it('are given up as answers, too, beyond the limit of a message', async (t) => {
    const streams = new Set<ServerHttp2Stream>();
    let writtenBytes = 0;
    const server = createServer();
    server.on('stream', (stream) => {
      streams.add(stream);
      stream.on('error', () => undefined);
      stream.respond({ ':status': 200, 'content-type': 'application/proto' });
      const writeBlocks = (): void => {
        while (!stream.destroyed && stream.write(Buffer.alloc(64 * 1024)))
          writtenBytes += 64 * 1024;
      };
      stream.on('drain', writeBlocks);
      writeBlocks();
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const outbox = createPeerOutbox({
      self: 'front-1',
      incarnation: 1,
      secret: 'secret',
      metrics: createMetrics(undefined, 0),
      onUnreachable: () => undefined,
    });
    t.teardown(() => {
      outbox.close();
      for (const stream of streams) stream.destroy();
      server.close();
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    await t.throwsAsync(outbox.fetchConfiguration(address, []), { message: /readMaxBytes/ });
    t.true(writtenBytes < 32 * MB, `${writtenBytes / MB} MB were written`);
  });
});
