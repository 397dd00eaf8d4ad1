import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { create, toBinary } from '@bufbuild/protobuf';
import type { ExecutionContext } from 'ava';
import { DatagramSchema, LoadScope, TellLoadSchema } from '../gen/peer_pb.js';
import { describe } from '../test/describe.js';
import { createSystemClock } from '../runtime/clock.js';
import { createTimerService } from '../runtime/timer-service.js';
import { openDatagramSocket } from './datagram-socket.js';
import type { DatagramSocket } from './datagram-socket.js';
import { openDatagrams } from './datagrams.js';
import type { PeerStatus } from './peer-status.js';

const SECRET = 'a secret';
const HOST = '127.0.0.1';
/** Unknown field 900 of the envelope: tag, length, bytes. */
const LATER_FIELD = Uint8Array.from([0xa2, 0x38, 2, 7, 7]);

function encodeLoad(scope: LoadScope): Uint8Array {
  const value = create(TellLoadSchema, { scope, dataCentre: 'hall' });
  const message = create(DatagramSchema, {
    from: 'front-2',
    secret: SECRET,
    body: { case: 'load', value },
  });
  return toBinary(DatagramSchema, message);
}

async function openSocket(t: ExecutionContext): Promise<{ socket: DatagramSocket; port: number }> {
  const timers = createTimerService(createSystemClock());
  const port = await findFreePort();
  const socket = await openDatagramSocket({ address: `${HOST}:${port}`, timers });
  t.teardown(() => {
    timers.stop();
    socket.close();
  });
  return { socket, port };
}

async function findFreePort(): Promise<number> {
  const probe = createSocket('udp4').bind(0, HOST);
  await once(probe, 'listening');
  const { port } = probe.address();
  probe.close();
  await once(probe, 'close');
  return port;
}

const IGNORED = {
  onPeerStatus: () => undefined,
  onGossip: () => undefined,
  onCases: () => undefined,
  onLimits: () => undefined,
  onNotices: () => undefined,
  onBrittle: () => undefined,
  onPermitRequests: () => undefined,
  onPermitReplies: () => undefined,
  onStreams: () => undefined,
  onStreamQuery: () => undefined,
  onStreamReply: () => undefined,
  onUsage: () => undefined,
  onUnknown: () => undefined,
} as const;

describe('datagrams of a newer release', ({ it }) => {
  // Guards against an uncaught error that ends the process and against repeated errors in the log.
  it('are reported as unknown, and their known fields are decoded', async (t) => {
    const { socket, port } = await openSocket(t);
    const received: PeerStatus[] = [];
    const unknown: string[] = [];
    const errors: string[] = [];
    const ended = new Promise<void>((resolve) => {
      openDatagrams({
        self: 'front-1',
        dataCentre: 'hall',
        secret: SECRET,
        socket,
        ...IGNORED,
        onPeerStatus(status) {
          received.push(status);
          resolve();
        },
        onUnknown: (field, value) => unknown.push(`${field} ${value}`),
        onError: (reason) => errors.push(reason),
      });
    });
    const sender = createSocket('udp4');
    t.teardown(() => sender.close());
    const empty = create(DatagramSchema, { from: 'front-2', secret: SECRET });
    const known = Buffer.concat([encodeLoad(LoadScope.OWN), LATER_FIELD]);
    for (const bytes of [toBinary(DatagramSchema, empty), encodeLoad(9 as LoadScope), known]) {
      sender.send(bytes, port, HOST);
    }
    await ended;
    t.deepEqual(unknown, ['datagram of front-2', 'scope 9']);
    t.deepEqual(errors, []);
    t.like(received[0], { instance: 'front-2', scope: 'own' });
  });
});

describe('datagrams to several addresses', ({ it }) => {
  // Guards against one odd address that keeps the instances after it from being told anything.
  it('reach the others if one is no address', async (t) => {
    const receiver = createSocket('udp4').bind(0, HOST);
    await once(receiver, 'listening');
    const errors: string[] = [];
    const { socket } = await openSocket(t);
    const datagrams = openDatagrams({
      self: 'front-1',
      dataCentre: 'hall',
      secret: SECRET,
      socket,
      ...IGNORED,
      onError: (reason) => errors.push(reason),
    });
    t.teardown(() => receiver.close());
    const arrived = once(receiver, 'message');
    const odd = ['nowhere', `${HOST}:65536`, `${HOST}:-1`, `${HOST}:`, ':7', ''];
    datagrams.sendNotices([...odd, `${HOST}:${receiver.address().port}`], []);
    await arrived;
    t.is(errors.length, odd.length);
  });
});
