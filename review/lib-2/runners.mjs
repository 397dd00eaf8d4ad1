/* eslint-disable no-restricted-syntax -- a part of the scripts, run as it is */
/** A sound runner over HTTP/1.1: it names itself, takes only requests meant for it, and keeps a record of its runs. */
import { createServer } from 'node:http';

export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

/**
 * Starts a runner at a free port of the host. `run` answers a request that the runner takes; it gets the
 * response, the request, its body and its record, which says when it began, and how it ended.
 */
export async function startRunner({
  host,
  id,
  healthPath = '/health',
  run,
  onRun = () => undefined,
}) {
  const runs = [];
  let stampCount = 0;

  async function handle(request, response) {
    const body = await readBody(request);
    if (request.url === healthPath) {
      response.writeHead(200, { 'X-Instance-Id': id });
      response.end();
      return;
    }
    const callId = request.headers['x-attempt-id'];
    if (
      request.headers['x-expect-instance'] !== undefined &&
      request.headers['x-expect-instance'] !== id
    ) {
      response.writeHead(421, { 'X-Instance-Id': id });
      response.end();
      return;
    }
    stampCount += 1;
    const record = {
      callId,
      runner: id,
      path: request.url,
      beganMs: performance.now(),
      end: 'at work',
    };
    runs.push(record);
    onRun(record);
    response.on('close', () => {
      record.endMs = performance.now();
      record.end = response.writableFinished ? 'answered whole' : 'cut off by the caller';
    });
    const headers = { 'X-Attempt-Id': callId, 'X-Server-Stamp': `${id}.${stampCount}` };
    await run({ request, response, body, record, headers });
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 10_000;
  const sockets = new Set();
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
  });
  const listen = (port) =>
    new Promise((resolve) => {
      server.listen(port, host, resolve);
    });
  await listen(0);
  const { port } = server.address();
  return {
    id,
    runs,
    address: `${host}:${port}`,
    /** Ends as a process that is killed: its connections are reset, and nothing listens any more. */
    crash() {
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
    },
    /** A new lifetime at the same address. */
    restart: () => listen(port),
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
