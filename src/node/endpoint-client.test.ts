import { createServer } from 'node:http';
import { createServer as createSocketServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { ExecutionContext } from 'ava';
import { NO_NOTICE } from '../endpoint-availability/availability-notice.js';
import type { AvailabilityNotice } from '../endpoint-availability/availability-notice.js';
import { describe } from '../test/describe.js';
import { createEndpointClient } from './endpoint-client.js';
import type { ServiceResult } from './endpoint-client.js';
import { closeWithReset } from '../runtime/close-with-reset.js';

const TIMEOUT_MS = 500;
const ORDER = { fence: 4, models: ['small'] };

async function startEndpoint(
  t: ExecutionContext,
  status = 200,
  headers: Record<string, string> = {},
) {
  const bodies: string[] = [];
  const server = createServer((request, response) => {
    let text = '';
    request.on('error', () => undefined);
    request.on('data', (bytes: Buffer) => {
      text += bytes.toString();
    });
    request.on('end', () => {
      bodies.push(text);
      response.writeHead(status, headers);
      response.end('{"models":["small"]}');
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const endpoint = {
    name: 'e-1',
    pool: 'small',
    url: `http://127.0.0.1:${port}`,
    dataCentre: 'hall',
    slots: 4,
  };
  const client = createEndpointClient();
  t.teardown(async () => {
    await client.close();
    server.closeAllConnections();
    server.close();
  });
  return { bodies, endpoint, client };
}

describe('control requests to endpoints', ({ it }) => {
  it('arrive whole and return the decoded response', async (t) => {
    const { bodies, endpoint, client } = await startEndpoint(t);
    const answer = await client.fetchJson(endpoint, '/v1/orders', ORDER, TIMEOUT_MS, () => true);
    t.deepEqual(answer, { models: ['small'] });
    t.deepEqual(bodies, [JSON.stringify(ORDER)]);
    t.deepEqual(await client.fetchJson(endpoint, '/load', undefined, TIMEOUT_MS), {
      models: ['small'],
    });
  });

  // Guards against an order that a suspended process completes after another instance has taken over.
  it('are not completed if they are no longer allowed once the connection is open', async (t) => {
    const { bodies, endpoint, client } = await startEndpoint(t);
    const answer = await client.fetchJson(endpoint, '/v1/orders', ORDER, TIMEOUT_MS, () => false);
    t.is(answer, undefined);
    t.deepEqual(bodies, []);
  });
});

describe('completions', ({ it }) => {
  // Guards against an answer that is joined from two versions since nobody reads which one wrote it.
  it('tell the software of the endpoint with each frame', async (t) => {
    const buildFrame = (fingerprint?: string): string => {
      const choices = [{ delta: { content: 'a' } }];
      const frame = { id: 'a', choices, system_fingerprint: fingerprint };
      return `data: ${JSON.stringify(frame)}\n\n`;
    };
    const server = createServer((_, response) => {
      response.writeHead(200, { 'x-request-id': 'a' });
      response.end(buildFrame('v1') + buildFrame());
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const client = createEndpointClient();
    t.teardown(async () => {
      await client.close();
      server.close();
    });
    const { port } = server.address() as AddressInfo;
    const url = `http://127.0.0.1:${port}`;
    const endpoint = { name: 'e-1', pool: 'small', url, dataCentre: 'hall', slots: 4 };
    const fingerprints: (string | undefined)[] = [];
    await new Promise<void>((resolve) => {
      client.startCompletion(
        endpoint,
        { attemptId: 'a', body: '{}', offset: 0 },
        {
          onNotice: () => undefined,
          onFrame: (_id, _index, _text, fingerprint) => fingerprints.push(fingerprint),
          onFinished: () => resolve(),
          onEnded: () => resolve(),
        },
      );
    });
    t.deepEqual(fingerprints, ['v1', undefined]);
  });
});

describe('calls to services', ({ describe: block, it }) => {
  const attempt = { attemptId: 'a', method: 'POST', path: '/', headers: {}, body: undefined };

  // Guards against throwing away the answer of a service that ran the call, and running it elsewhere.
  it('return the whole answer of one that says in it that it is leaving', async (t) => {
    const { endpoint, client } = await startEndpoint(t, 200, { 'x-endpoint-leaving': 'true' });
    const result = await new Promise<ServiceResult>((resolve) => {
      client.startService(endpoint, attempt, { onNotice: () => undefined, onEnded: resolve });
    });
    t.is(result.kind, 'answered');
  });

  it('are known not to have run if one that is leaving turns them away', async (t) => {
    const { endpoint, client } = await startEndpoint(t, 503, { 'x-endpoint-leaving': 'true' });
    const result = await new Promise<ServiceResult>((resolve) => {
      client.startService(endpoint, attempt, { onNotice: () => undefined, onEnded: resolve });
    });
    t.deepEqual(result, { kind: 'ended', ending: 'leaving' });
  });

  // Guards against a notice that only a rejection, or only an answer, is read for.
  it('report the notice of each response', async (t) => {
    const heads: readonly [number, Record<string, string>, AvailabilityNotice][] = [
      [200, { 'x-endpoint-leaving': 'true' }, { ...NO_NOTICE, isLeaving: true }],
      [500, { 'x-endpoint-leaving': 'true' }, { ...NO_NOTICE, isLeaving: true }],
      [503, { 'retry-after': '2.5' }, { ...NO_NOTICE, rest: { kind: 'rest', restMs: 2500 } }],
      [429, { 'retry-after': '2.5' }, NO_NOTICE],
    ];
    for (const [status, headers, expected] of heads) {
      // One endpoint after the other.
      // eslint-disable-next-line no-await-in-loop
      const { endpoint, client } = await startEndpoint(t, status, headers);
      // eslint-disable-next-line no-await-in-loop
      const notice = await new Promise<AvailabilityNotice>((resolve) => {
        client.startService(endpoint, attempt, { onNotice: resolve, onEnded: () => undefined });
      });
      t.deepEqual(notice, expected, `status ${status}`);
    }
  });

  block('whose answer is cut', ({ it: itCut }) => {
    const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';

    async function runAgainst(
      t: ExecutionContext,
      sendAnswer: (socket: Socket) => void,
    ): Promise<ServiceResult> {
      const server = createSocketServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () => sendAnswer(socket));
      });
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const client = createEndpointClient();
      t.teardown(async () => {
        await client.close();
        server.close();
      });
      const { port } = server.address() as AddressInfo;
      const url = `http://127.0.0.1:${port}`;
      const endpoint = { name: 's-1', pool: 'stores', url, dataCentre: 'hall', slots: 4 };
      return new Promise((resolve) => {
        client.startService(endpoint, attempt, { onNotice: () => undefined, onEnded: resolve });
      });
    }

    // Guards against an answer without a length that is passed on as whole after its service has ended.
    itCut('are broken off', async (t) => {
      const cuts: readonly ((socket: Socket) => void)[] = [
        (socket) => socket.end(`${HEAD}Content-Le`),
        (socket) => socket.end(`${HEAD}Content-Length: 5\r\n\r\nhal`),
        (socket) => socket.end(`${HEAD}\r\n`),
        (socket) => socket.write(`${HEAD}\r\nhal`, () => closeWithReset(socket)),
      ];
      const results = await Promise.all(cuts.map((cut) => runAgainst(t, cut)));
      for (const [index, result] of results.entries())
        t.deepEqual(result, { kind: 'ended', ending: 'broken' }, `cut ${index}`);
    });

    itCut('are whole if the connection ends in order after a body', async (t) => {
      const result = await runAgainst(t, (socket) => socket.end(`${HEAD}\r\nwhole`));
      t.deepEqual(result, {
        kind: 'answered',
        answer: { status: 200, contentType: 'text/plain', body: 'whole' },
      });
    });
  });
});
