import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import { ANSWER_FAULT } from '../connections/answer-guard.js';
import type { AnswerFault } from '../connections/answer-guard.js';
import { describe } from '../test/describe.js';
import { createEndpointConnections } from './endpoint-connections.js';

const MB = 1024 * 1024;
/** What one connection may be read before it is closed, with what the kernel's buffers take. */
const READ_BYTES_MAX = 16 * MB;
/** Time that the handling of one chunk takes. */
const HANDLING_MS = 0.02;
/** Such chunks of all connections together: 0.1 s. */
const IN_TURN_MAX = 5000;
const END_MS = 15_000;
const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const LONG_TEXT = 'x'.repeat(64 * 1024);

interface Outcome {
  readonly end: 'whole' | 'broken' | 'late';
  readonly reason: string;
  readonly isRefused: boolean;
  readonly bodyBytes: number;
}

/** Writes a block again and again, as fast as it is read. */
function writeEndlessly(socket: Socket, head: string, block: string, onWritten: () => boolean) {
  const writeBlocks = (): void => {
    while (!socket.destroyed && onWritten()) if (!socket.write(block)) return;
    if (!socket.destroyed) socket.end();
  };
  socket.write(head);
  socket.on('drain', writeBlocks);
  writeBlocks();
}

/** Takes the event loop, as the handling of a piece does. */
function waitBusily(ms: number): void {
  const startMs = performance.now();
  while (performance.now() - startMs < ms);
}

async function startSetup(
  t: ExecutionContext,
  onRequest: (socket: Socket) => void,
  handlingMs = 0,
) {
  const faults: AnswerFault[] = [];
  let handledCount = 0;
  const connections = createEndpointConnections({
    onAnswerFault: (_, fault) => faults.push(fault),
  });
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => onRequest(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(async () => {
    await connections.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  function runExchange(): Promise<Outcome> {
    return new Promise((resolve) => {
      let bodyBytes = 0;
      const timer = setTimeout(
        () => resolve({ end: 'late', reason: '', isRefused: false, bodyBytes }),
        END_MS,
      );
      const close = (end: Outcome['end'], reason = '', isRefused = false): void => {
        clearTimeout(timer);
        resolve({ end, reason, isRefused, bodyBytes });
      };
      connections.open(
        address,
        64,
        { method: 'POST', target: '/x', headers: [], body: Buffer.from('order') },
        {
          isSendAllowed: () => true,
          onWithheld: () => close('broken'),
          onHead: () => true,
          onData(bytes) {
            bodyBytes += bytes.length;
            handledCount += 1;
            waitBusily(handlingMs);
            return true;
          },
          onEnd: () => close('whole'),
          onError: (_, reason, __, isRefused) => close('broken', reason, isRefused),
        },
      );
    });
  }
  return { faults, runExchange, countHandled: () => handledCount };
}

const ENDLESS = {
  'informational heads': ['', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(2000)],
  'a status line': ['HTTP/1.1 200 ', LONG_TEXT],
  'a chunk extension': [`${HEAD}1;`, LONG_TEXT],
  'blank lines before the head': ['', '\r\n'.repeat(32 * 1024)],
  'long extensions of chunks of one byte': [HEAD, `1;${'x'.repeat(8000)}\r\nx\r\n`],
} as const;

describe('an answer without end', ({ describe: describeInner, it }) => {
  describeInner('is broken off soon, with a reason, if it consists of', (inner) => {
    for (const [name, [head, block]] of Object.entries(ENDLESS)) {
      // Guards against bytes that are no answer and are read until the call's time is up.
      inner.it(name, async (t) => {
        let written = 0;
        const { runExchange, faults } = await startSetup(t, (socket) =>
          writeEndlessly(socket, head, block, () => {
            written += block.length;
            return true;
          }),
        );
        const { end, reason, isRefused } = await runExchange();
        t.is(end, 'broken');
        t.regex(reason, /^closed: more than \d+/);
        t.true(isRefused);
        t.true(written < READ_BYTES_MAX, `${written} bytes written`);
        await new Promise((resolve) => {
          setTimeout(resolve, 50);
        });
        t.is(faults.length, 1);
      });
    }
  });

  // Guards against an idle connection whose endpoint keeps the instance busy with bytes after its answer.
  for (const [name, block] of [
    ['blank lines', '\r\n'.repeat(32 * 1024)],
    ['text', LONG_TEXT],
  ] as const) {
    it(`closes its connection if it goes on with ${name} after its end`, async (t) => {
      let written = 0;
      const { runExchange, faults } = await startSetup(t, (socket) => {
        const head = 'HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok';
        writeEndlessly(socket, head, block, () => {
          written += block.length;
          return true;
        });
      });
      t.is((await runExchange()).end, 'whole');
      await new Promise((resolve) => {
        setTimeout(resolve, 300);
      });
      t.true(written < READ_BYTES_MAX, `${written} bytes written`);
      const kinds: readonly AnswerFault[] = [ANSWER_FAULT.Unasked, ANSWER_FAULT.Malformed];
      t.true(faults.length === 1 && faults.every((fault) => kinds.includes(fault)));
    });
  }

  // Guards against connections with tiny chunks that keep all others waiting for seconds.
  it('leaves the event loop to others, though it comes in tiny chunks over ten connections', async (t) => {
    const chunks = 10_000;
    const onRequest = (socket: Socket): void => {
      socket.end(`${HEAD}${'1\r\nx\r\n'.repeat(chunks)}0\r\n\r\n`);
    };
    const { runExchange, countHandled } = await startSetup(t, onRequest, HANDLING_MS);
    let handled = 0;
    let mostInTurn = 0;
    let isOver = false;
    const recordTurn = (): void => {
      mostInTurn = Math.max(mostInTurn, countHandled() - handled);
      handled = countHandled();
      if (!isOver) setImmediate(recordTurn);
    };
    recordTurn();
    const outcomes = await Promise.all(Array.from({ length: 10 }, runExchange));
    isOver = true;
    t.true(mostInTurn < IN_TURN_MAX, `${mostInTurn} chunks were handled in one turn`);
    t.true(outcomes.every(({ end, bodyBytes }) => end === 'whole' && bodyBytes === chunks));
  });

  it('is not what a large sound answer is: 16 MB arrive whole after early hints', async (t) => {
    const { runExchange } = await startSetup(t, (socket) => {
      const hints = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'.repeat(5);
      let left = 256;
      const head = `${hints}HTTP/1.1 200 OK\r\nContent-Length: ${16 * MB}\r\n\r\n`;
      writeEndlessly(socket, head, LONG_TEXT, () => {
        left -= 1;
        return left >= 0;
      });
    });
    const { end, bodyBytes } = await runExchange();
    t.is(bodyBytes, 16 * MB);
    t.is(end, 'whole');
  });

  it('is not what a sound answer in chunks of one byte is: it arrives whole', async (t) => {
    const { runExchange } = await startSetup(t, (socket) => {
      socket.end(`${HEAD}${'1\r\nx\r\n'.repeat(100_000)}0\r\n\r\n`);
    });
    const { end, bodyBytes } = await runExchange();
    t.is(bodyBytes, 100_000);
    t.is(end, 'whole');
  });
});
