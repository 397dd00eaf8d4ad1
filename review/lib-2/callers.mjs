/* eslint-disable import-x/prefer-default-export, no-use-before-define -- a part of the scripts, run as it is */
/** A client: one kept connection, requests one after the other, answers read byte by byte. */
import { connect } from 'node:net';

/** Splits the bytes of one answer; `isComplete` is true once its framing says that it has ended. */
function parseAnswer(bytes) {
  const text = bytes.toString('latin1');
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) return { hasHead: false, isComplete: false };
  const [statusLine, ...lines] = text.slice(0, headEnd).split('\r\n');
  const status = Number(statusLine.split(' ')[1]);
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const rest = text.slice(headEnd + 4);
  if (headers['transfer-encoding'] === 'chunked') {
    let body = '';
    let at = 0;
    for (;;) {
      const lineEnd = rest.indexOf('\r\n', at);
      if (lineEnd < 0) return { hasHead: true, status, headers, body, isComplete: false };
      const size = Number.parseInt(rest.slice(at, lineEnd), 16);
      if (size === 0) return { hasHead: true, status, headers, body, isComplete: true };
      if (rest.length < lineEnd + 2 + size + 2)
        return { hasHead: true, status, headers, body, isComplete: false };
      body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
      at = lineEnd + 2 + size + 2;
    }
  }
  const length = Number(headers['content-length'] ?? 0);
  const isComplete = rest.length >= length;
  return { hasHead: true, status, headers, body: rest.slice(0, length), isComplete };
}

/** Opens a kept connection. */
export async function openCaller(address, localAddress) {
  const [host, port] = address.split(':');
  const socket = connect({ host, port: Number(port), localAddress });
  let received = Buffer.alloc(0);
  let closed;
  let onChange = () => undefined;
  socket.on('data', (bytes) => {
    received = Buffer.concat([received, bytes]);
    onChange();
  });
  socket.on('error', (error) => {
    closed ??= `reset (${error.code})`;
  });
  socket.on('close', () => {
    closed ??= 'closed';
    onChange();
  });
  await new Promise((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
  });
  return {
    socket,
    isClosed: () => closed !== undefined,
    /** Sends one request; resolves once its answer is complete, its connection ends or the client gives up. */
    send({ method = 'POST', path, host: hostHeader, id, key, headers = {}, body = '', timeoutMs }) {
      received = Buffer.alloc(0);
      const lines = [
        `${method} ${path} HTTP/1.1`,
        `Host: ${hostHeader}`,
        `X-Attempt-Id: ${id}`,
        `X-Deadline-Ms: ${timeoutMs}`,
        ...(key === undefined ? [] : [`Authorization: Bearer ${key}`]),
        ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
        ...(body === '' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]),
      ];
      const sentMs = performance.now();
      socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
      return new Promise((resolve) => {
        const finish = (end) => {
          onChange = () => undefined;
          clearTimeout(timer);
          const answer = parseAnswer(received);
          resolve({ id, end, tookMs: performance.now() - sentMs, sentMs, ...answer });
        };
        const timer = setTimeout(() => {
          finish('gave up');
          socket.destroy();
        }, timeoutMs);
        onChange = () => {
          if (parseAnswer(received).isComplete) finish('complete');
          else if (closed !== undefined) finish(closed);
        };
        onChange();
      });
    },
    close: () => socket.destroy(),
  };
}
