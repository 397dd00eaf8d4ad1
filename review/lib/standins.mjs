/** Stand-ins for the platform's store and for runners, as PROTOCOL.md describes them. */
/* eslint-disable no-restricted-syntax -- Node 20 runs for-of natively, as in the project's own sources. */
import { createServer } from 'node:http';

/** Time of the store for an answer, and of a runner for a step, as on the sheets. */
const ANSWER_MS = 4;
const STEP_MS = 3.41;

async function readText(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

/** Starts a store on a free port of `host`. */
export async function startStore(host) {
  const rows = new Map();
  const watches = new Set();
  const startedMs = performance.now();
  let revision = 1;
  let onUnchanged = () => undefined;

  const buildKey = ({ table, part = '', key }) => `${table}|${part}|${key}`;

  function sendJson(response, status, body) {
    const nowMs = Math.round(performance.now() - startedMs);
    setTimeout(() => {
      if (response.destroyed) return;
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ revision, now_ms: nowMs, ...body }));
    }, ANSWER_MS);
  }

  function listChanged(table, since) {
    return [...rows.values()]
      .filter((row) => row.table === table && row.revision > since)
      .sort((a, b) => a.revision - b.revision);
  }

  const encodeRows = (list) =>
    list.map((row) => ({ ...row, ...(row.value === undefined ? { removed: true } : {}) }));

  function sendWatch(watch) {
    watches.delete(watch);
    clearTimeout(watch.timer);
    const changed = listChanged(watch.table, watch.since);
    sendJson(watch.response, 200, { rows: encodeRows(changed) });
    if (changed.length === 0) onUnchanged(watch.table);
  }

  function applyChanges(writes, removes) {
    revision += 1;
    for (const { table, part = '', key, value } of writes)
      rows.set(buildKey({ table, part, key }), { table, part, key, value, revision });
    for (const { table, part = '', key } of removes)
      rows.set(buildKey({ table, part, key }), { table, part, key, value: undefined, revision });
    for (const watch of [...watches])
      if (listChanged(watch.table, watch.since).length > 0) sendWatch(watch);
  }

  function handleWatch(query, response) {
    const watch = { table: query.get('table'), since: Number(query.get('since_rev')), response };
    watch.timer = setTimeout(() => sendWatch(watch), Number(query.get('wait_ms') ?? 0));
    watches.add(watch);
    response.on('close', () => {
      clearTimeout(watch.timer);
      watches.delete(watch);
    });
    if (listChanged(watch.table, watch.since).length > 0) sendWatch(watch);
  }

  function handleTransaction({ expected_rev: expected = [], writes = [], remove = [] }, response) {
    const conflicts = expected.filter((each) => {
      const row = rows.get(buildKey(each));
      return (row?.value === undefined ? 0 : row.revision) !== each.revision;
    });
    if (conflicts.length > 0) {
      const current = conflicts.map((each) => rows.get(buildKey(each))).filter((row) => row?.value);
      sendJson(response, 412, { rows: encodeRows(current) });
      return;
    }
    applyChanges(writes, remove);
    sendJson(response, 200, {});
  }

  async function handleCall(request, response) {
    const url = new URL(request.url, 'http://store');
    if (url.pathname === '/rows-feed') handleWatch(url.searchParams, response);
    else if (url.pathname === '/rows-get') {
      const list = listChanged(url.searchParams.get('table'), 0)
        .filter(({ value }) => value !== undefined)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      sendJson(response, 200, { rows: encodeRows(list), has_more: false });
    } else if (url.pathname === '/rows-tx') {
      handleTransaction(JSON.parse(await readText(request)), response);
    } else sendJson(response, 404, {});
  }

  const server = createServer((request, response) => {
    handleCall(request, response).catch(() => response.destroy());
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    /** Writes a row as the operator or a runner does. */
    set(table, key, value) {
      const text = Buffer.from(JSON.stringify(value)).toString('base64');
      applyChanges([{ table, key, value: text }], []);
    },
    remove: (table, key) => applyChanges([], [{ table, key }]),
    /** Resolves when a watch of the table is next answered without a change. */
    waitForUnchanged: (watched) =>
      new Promise((resolve) => {
        onUnchanged = (table) => {
          if (table === watched) resolve();
        };
      }),
    stop() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/**
 * Starts a runner on a free port of `host`. `work` answers a request: it gets the request with its
 * `body`, the response, and the headers that each answer of a run has.
 */
export async function startRunner(
  { host, id, slots = Infinity, queue = 24, isTooLarge = () => false },
  work,
) {
  const runs = [];
  const waiting = [];
  let active = 0;

  function start(run) {
    active += 1;
    run.response.once('close', () => {
      active -= 1;
      const next = waiting.shift();
      if (next !== undefined) start(next);
    });
    if (run.response.destroyed) return;
    runs.push({ id: run.request.headers['x-attempt-id'], atMs: performance.now(), ...run });
    const headers = {
      'X-Attempt-Id': run.request.headers['x-attempt-id'],
      'X-Server-Stamp': `stamp.${id}.${runs.length}`,
      'X-Instance-Id': id,
    };
    work(run, headers);
  }

  function sendRejection(response, attempt) {
    setTimeout(() => {
      if (!response.destroyed) response.writeHead(503, { ...attempt, 'X-Not-Executed': '1' }).end();
    }, STEP_MS);
  }

  const server = createServer(async (request, response) => {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const attempt = { 'X-Attempt-Id': request.headers['x-attempt-id'] ?? '' };
    if (request.url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': id }).end();
      return;
    }
    if (![undefined, id].includes(request.headers['x-expect-instance'])) {
      response.writeHead(421, { ...attempt, 'X-Instance-Id': id }).end();
      return;
    }
    const run = { request, response, body: Buffer.concat(chunks) };
    if (isTooLarge(request)) sendRejection(response, attempt);
    else if (active < slots) start(run);
    else if (waiting.length < queue) waiting.push(run);
    else sendRejection(response, attempt);
  });
  server.keepAliveTimeout = 5000;
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    id,
    address: `${host}:${server.address().port}`,
    runs,
    countActive: () => active,
    stop() {
      server.closeAllConnections();
      server.close();
    },
  };
}
