/**
 * Sends to peers whose connections fail in every way, and prints the errors that nobody caught, as one
 * line of JSON. A program of its own, since a test runner catches such errors itself.
 */
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { once } from 'node:events';
import { createForwardLinks } from '../peers/forward-links.js';
import { createPeerOutbox } from '../peers/peer-outbox.js';
import { createMetrics } from '../runtime/metrics.js';
import { createRandom } from '../utils/random.js';
import { closeWithReset } from '../runtime/close-with-reset.js';

const SECRET = 'a-secret-of-all-routers';
/** Links to each peer. */
const LINKS = 12;
const ROUNDS = 4;
const ROUND_MS = 350;
/** Longer than the calls to peers may take. */
const SETTLE_MS = 1500;

const EMPTY_SETTINGS = Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]);
/** GOAWAY with an error code, for all streams. */
const buildGoaway = (code: number): Buffer =>
  Buffer.from([0, 0, 8, 7, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, code]);

const random = createRandom(7);

function runLater(maxMs: number, act: () => void): void {
  setTimeout(act, random.nextIndex(maxMs));
}

/** What a peer does with a connection. */
const PEERS: Readonly<Record<string, (socket: Socket) => void>> = {
  silent: () => undefined,
  resets: (socket) => closeWithReset(socket),
  resetsLater: (socket) => runLater(60, () => closeWithReset(socket)),
  resetsAtPreface: (socket) => socket.once('data', () => closeWithReset(socket)),
  resetsAfterSettings(socket) {
    socket.write(EMPTY_SETTINGS);
    runLater(60, () => closeWithReset(socket));
  },
  closesHalf: (socket) => socket.end(),
  closesHalfAfterSettings: (socket) => socket.end(EMPTY_SETTINGS),
  closes: (socket) => runLater(60, () => socket.destroy()),
  sendsGarbage: (socket) => socket.write(Buffer.alloc(200, 0x5a)),
  sendsHttp1: (socket) => socket.end('HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n'),
  goesAway: (socket) => socket.write(Buffer.concat([EMPTY_SETTINGS, buildGoaway(0)])),
  goesAwayFailing: (socket) => socket.write(Buffer.concat([EMPTY_SETTINGS, buildGoaway(11)])),
  goesAwayAndResets(socket) {
    socket.write(Buffer.concat([EMPTY_SETTINGS, buildGoaway(2)]));
    runLater(20, () => closeWithReset(socket));
  },
  settingsThenSilent: (socket) => socket.write(EMPTY_SETTINGS),
};

const REQUEST = { method: 'POST', target: '/', headers: [], body: Buffer.alloc(2000) };

interface Uncaught {
  readonly error: string;
  readonly code: string;
}

const uncaught: Uncaught[] = [];
function recordUncaught(error: unknown): void {
  const { code = '' } = error as { code?: string | number };
  uncaught.push({ error: String(error), code: String(code) });
}
process.on('uncaughtException', recordUncaught);
process.on('unhandledRejection', recordUncaught);

function waitMs(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function startPeer(act: (socket: Socket) => void): Promise<Server> {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined);
    socket.unref();
    socket.resume();
    act(socket);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  server.unref();
  return server;
}

async function runLink(address: string): Promise<void> {
  const outbox = createPeerOutbox({
    self: 'front-1',
    incarnation: 1,
    secret: SECRET,
    metrics: createMetrics(undefined, 0),
    onUnreachable: () => undefined,
  });
  const links = createForwardLinks({ secret: SECRET });
  for (let round = 0; round < ROUNDS; round += 1) {
    outbox.send(address, {
      case: 'ping',
      value: {
        $typeName: 'hyssoptally.peer.v1.Ping',
        sequence: round,
        facts: [],
        factsHash: 0,
      },
    });
    runLater(ROUND_MS, () => {
      outbox
        .fetchKnowledge(address, { configurationRevision: 0, endpointsRevision: 0 })
        .catch(() => undefined);
    });
    const stream = links.open(address, ROUND_MS, {
      onResponse: () => undefined,
      onClosed: () => undefined,
    });
    stream.send({ kind: 'request', request: REQUEST });
    runLater(ROUND_MS, () => stream.close());
    if (round === 2) runLater(ROUND_MS, () => links.renew(address));
    // Rounds are spaced in time.
    // eslint-disable-next-line no-await-in-loop
    await waitMs(ROUND_MS);
  }
  outbox.close();
  links.close();
}

const servers = await Promise.all(Object.values(PEERS).map(startPeer));
const addresses = servers.map((server) => `127.0.0.1:${(server.address() as AddressInfo).port}`);
// Nobody listens there.
addresses.push('127.0.0.1:9');
await Promise.all(
  addresses.flatMap((address) => Array.from({ length: LINKS }, () => runLink(address))),
);
await waitMs(SETTLE_MS);
process.stdout.write(`${JSON.stringify({ links: addresses.length * LINKS, uncaught })}\n`);
