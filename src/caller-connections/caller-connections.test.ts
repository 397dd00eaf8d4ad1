import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import fc from 'fast-check';
import { createSystemClock } from '../runtime/clock.js';
import { createTimerService } from '../runtime/timer-service.js';
import { describe } from '../test/describe.js';
import { createCallerConnections } from './caller-connections.js';
import { OPEN_REQUESTS_MAX } from './caller-stream.js';

const HEAD = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
const FRAMINGS_TRIED = 60;

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

async function startServer(t: ExecutionContext, handler: Handler) {
  const timers = createTimerService(createSystemClock());
  const server = createServer(handler);
  createCallerConnections(server, { timers });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
    timers.stop();
  });
  return {
    async openConnection(): Promise<Socket> {
      const socket = connect(port, '127.0.0.1');
      socket.on('error', () => undefined);
      t.teardown(() => socket.destroy());
      await once(socket, 'connect');
      return socket;
    },
  };
}

/** Answers with the body of the request. */
function handleEcho(request: IncomingMessage, response: ServerResponse): void {
  const parts: Buffer[] = [];
  request.on('data', (part: Buffer) => parts.push(part));
  request.on('end', () => response.end(`<${Buffer.concat(parts).toString()}>`));
}

function waitTurn(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
}

interface SentRequest {
  readonly text: string;
  readonly body: string;
}

const BODIES = fc.array(
  fc.constantFrom('a', '0', '\r\n', '\r\n\r\n', '\n0', 'GET / HTTP/1.1\r\n'),
  {
    maxLength: 12,
  },
);

function buildChunked(parts: readonly string[]): SentRequest {
  const chunks = parts.map((part) => `${part.length.toString(16)};ext=1\r\n${part}\r\n`).join('');
  const head = 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';
  return { text: `${head}${chunks}0\r\nA: 0\r\n\r\n`, body: parts.join('') };
}

function buildWithLength(parts: readonly string[]): SentRequest {
  const body = parts.join('');
  const head = `POST / HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n`;
  return { text: head + body, body };
}

const REQUESTS = fc.array(
  fc.oneof(
    fc.constant<SentRequest>({ text: HEAD, body: '' }),
    BODIES.map(buildChunked),
    BODIES.map(buildWithLength),
  ),
  { minLength: 1, maxLength: 12 },
);

/** Cuts a text at these shares of its length. */
function listPieces(text: string, cuts: readonly number[]): string[] {
  const places = [...cuts.map((cut) => Math.floor(cut * text.length)), 0, text.length];
  places.sort((one, other) => one - other);
  return places.slice(1).map((end, index) => text.slice(places[index], end));
}

async function sendPieces(socket: Socket, pieces: readonly string[]): Promise<void> {
  socket.setNoDelay(true);
  for (const piece of pieces) {
    socket.write(piece, 'latin1');
    // Each piece is a read of its own.
    // eslint-disable-next-line no-await-in-loop
    await new Promise(setImmediate);
  }
}

describe('connections of callers', ({ it }) => {
  // Guards against calls and memory of requests that wait behind another one and never end once their caller has left.
  it('close each of their responses when they close', async (t) => {
    const closed: string[] = [];
    let handled = 0;
    const server = await startServer(t, (request, response) => {
      handled += 1;
      response.on('close', () => closed.push(`${request.url} ${response.destroyed}`));
      if (request.url === '/whole') response.end('whole');
    });
    const socket = await server.openConnection();
    const paths = ['/first', '/second', '/whole'];
    socket.write(paths.map((path) => HEAD.replace('/', path)).join(''));
    // On a busy machine the server has not read them all after one turn.
    while (handled < paths.length) await waitTurn(); // eslint-disable-line no-await-in-loop
    await waitTurn();
    t.deepEqual(closed, []);
    socket.destroy();
    // Without all of the closings the test runs into its limit.
    while (closed.length < paths.length) await waitTurn(); // eslint-disable-line no-await-in-loop
    t.deepEqual(closed.sort(), ['/first true', '/second true', '/whole true']);
  });

  it('carry any framing of requests, cut at any byte', async (t) => {
    const server = await startServer(t, handleEcho);
    const cuts = fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 8 });
    await fc.assert(
      fc.asyncProperty(REQUESTS, cuts, async (requests, shares) => {
        const socket = await server.openConnection();
        const expected = requests.map(({ body }) => `<${body}>`).join('');
        let bodies = '';
        const received = new Promise<void>((resolve) => {
          let text = '';
          socket.on('data', (bytes: Buffer) => {
            text += bytes.toString('latin1');
            bodies = text.replaceAll(/HTTP\/1\.1 200 OK\r\n(?:[^\r\n]+\r\n)+\r\n/g, '');
            if (bodies.length >= expected.length) resolve();
          });
          socket.on('close', () => resolve());
        });
        await sendPieces(socket, listPieces(requests.map(({ text }) => text).join(''), shares));
        await received;
        socket.destroy();
        t.is(bodies, expected);
      }),
      { numRuns: FRAMINGS_TRIED },
    );
  });

  // Guards against thousands of requests of one read that are all handled, and held, at once.
  it('have a few requests handled at once, and all in the end', async (t) => {
    const responses: ServerResponse[] = [];
    const server = await startServer(t, (_, response) => responses.push(response));
    const socket = await server.openConnection();
    socket.resume();
    const count = 500;
    socket.write(HEAD.repeat(count));
    for (let ended = 0; ended < count; ended += 1) {
      // Each answer lets the next request in.
      // eslint-disable-next-line no-await-in-loop
      while (responses.length <= ended) await waitTurn();
      t.true(responses.length <= ended + OPEN_REQUESTS_MAX);
      responses[ended]?.end();
    }
    t.is(responses.length, count);
  });

  // Guards against answers that pile up because their caller sends requests and reads nothing.
  it('have no further request handled while answers are not read', async (t) => {
    let count = 0;
    const server = await startServer(t, (_, response) => {
      count += 1;
      response.end(Buffer.alloc(8 * 1024 * 1024));
    });
    const socket = await server.openConnection();
    socket.pause();
    socket.write(HEAD.repeat(500));
    await waitTurn();
    await waitTurn();
    t.true(count <= OPEN_REQUESTS_MAX, `${count} were handled`);
  });

  // Guards against work that goes on for a caller that left while requests of it waited.
  it('close with their caller while requests wait', async (t) => {
    const responses: ServerResponse[] = [];
    const server = await startServer(t, (_, response) => responses.push(response));
    const socket = await server.openConnection();
    socket.write(HEAD.repeat(50));
    while (responses.length < OPEN_REQUESTS_MAX) {
      // eslint-disable-next-line no-await-in-loop
      await waitTurn();
    }
    const closed = Promise.all(responses.map((response) => once(response, 'close')));
    socket.end();
    await closed;
    t.is(responses.length, OPEN_REQUESTS_MAX);
  });

  // Guards against small chunks of one connection that keep the process from all others.
  it('are served beside one that sends a body in the smallest chunks', async (t) => {
    const server = await startServer(t, handleEcho);
    const flooding = await server.openConnection();
    flooding.resume();
    const head = 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';
    flooding.write(head + '1\r\nx\r\n'.repeat(300_000));
    const tookMs: number[] = [];
    for (let index = 0; index < 10; index += 1) {
      // One after another.
      // eslint-disable-next-line no-await-in-loop
      const socket = await server.openConnection();
      const beganMs = performance.now();
      socket.write(HEAD);
      // eslint-disable-next-line no-await-in-loop
      await once(socket, 'data');
      tookMs.push(performance.now() - beganMs);
      socket.destroy();
    }
    t.true(Math.max(...tookMs) < 500, `the latest took ${Math.max(...tookMs)} ms`);
  });

  // Guards against heads without an end that take the memory of the process together.
  it('close if their heads have no end and are too much together', async (t) => {
    const server = await startServer(t, handleEcho);
    const head = `GET / HTTP/1.1\r\nHost: h\r\nX-Long: ${'x'.repeat(15_000)}`;
    const count = 800;
    let closed = 0;
    const recordClosed = (): void => {
      closed += 1;
    };
    for (let index = 0; index < count; index += 1) {
      // A listener accepts a bounded number at once.
      // eslint-disable-next-line no-await-in-loop
      const socket = await server.openConnection();
      socket.on('close', recordClosed);
      socket.resume();
      socket.write(head);
    }
    while (closed === 0) {
      // eslint-disable-next-line no-await-in-loop
      await waitTurn();
    }
    const sound = await server.openConnection();
    sound.write(HEAD);
    const [bytes] = (await once(sound, 'data')) as [Buffer];
    t.regex(bytes.toString(), /^HTTP\/1\.1 200/);
    t.true(closed < count / 2, `${closed} were closed`);
  });

  // Guards against an order under way that loses its answer because bytes behind it are no request.
  it('answer what was read before bytes that are no request', async (t) => {
    const responses: ServerResponse[] = [];
    const server = await startServer(t, (_, response) => responses.push(response));
    const socket = await server.openConnection();
    let text = '';
    socket.on('data', (bytes: Buffer) => {
      text += bytes.toString();
    });
    socket.write(`${HEAD}${HEAD}\0 is no request\r\n\r\n`);
    while (responses.length < 2) {
      // eslint-disable-next-line no-await-in-loop
      await waitTurn();
    }
    await waitTurn();
    for (const response of responses) response.end('whole');
    await once(socket, 'close');
    t.regex(text, /200 OK[^]*whole[^]*200 OK[^]*whole[^]*400 Bad Request/);
  });
});
