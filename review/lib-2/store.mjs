/* eslint-disable no-restricted-syntax, import-x/prefer-default-export -- a part of the scripts, run as it is */
/** Stand-in for the platform's store: tables with revisions, watches and transactions under a condition. */
import { createServer } from 'node:http';

const HISTORY_ROWS_MAX = 10_000;
const PAGE_ROWS_MAX = 500;

async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return JSON.parse(Buffer.concat(chunks).toString() || '{}');
}

/** Starts a store at a free port of the host. */
export async function startStore(host) {
  const rows = new Map();
  const watches = new Set();
  const startedMs = performance.now();
  let revision = 1;

  const rowKey = ({ table, part = '', key }) => `${table}|${part}|${key}`;

  function send(response, status, body) {
    const nowMs = Math.round(performance.now() - startedMs);
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ ...body, revision, now_ms: nowMs }));
  }

  function listRows(table, filter) {
    return [...rows.values()].filter((row) => row.table === table && filter(row));
  }

  function sendWatch(watch) {
    watches.delete(watch);
    clearTimeout(watch.timer);
    const changed = listRows(watch.table, (row) => row.revision > watch.since);
    changed.sort((a, b) => a.revision - b.revision);
    send(watch.response, 200, { rows: changed });
  }

  function tellWatches(tables) {
    for (const watch of [...watches]) if (tables.has(watch.table)) sendWatch(watch);
  }

  /** All entries get the same revision. */
  function apply(writes, removes) {
    revision += 1;
    for (const { table, part = '', key, value } of writes)
      rows.set(rowKey({ table, part, key }), { table, part, key, value, revision });
    for (const { table, part = '', key } of removes) {
      if (rows.has(rowKey({ table, part, key })))
        rows.set(rowKey({ table, part, key }), { table, part, key, removed: true, revision });
    }
    if (rows.size > HISTORY_ROWS_MAX) throw new Error('too many rows for this stand-in');
    tellWatches(new Set([...writes, ...removes].map(({ table }) => table)));
  }

  const findLive = (entry) => {
    const row = rows.get(rowKey(entry));
    return row?.removed === true ? undefined : row;
  };

  async function handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const { searchParams: query } = url;
    if (url.pathname === '/rows-get') {
      const from = query.get('from') ?? '';
      const part = query.get('part') ?? '';
      const limit = Math.min(PAGE_ROWS_MAX, Number(query.get('limit') ?? PAGE_ROWS_MAX));
      const found = listRows(
        query.get('table'),
        (row) => row.part === part && row.key >= from && row.removed !== true,
      );
      found.sort((a, b) => (a.key < b.key ? -1 : 1));
      send(response, 200, { rows: found.slice(0, limit), has_more: found.length > limit });
    } else if (url.pathname === '/rows-feed') {
      const watch = {
        table: query.get('table'),
        since: Number(query.get('since_rev')),
        response,
      };
      watch.timer = setTimeout(() => sendWatch(watch), Number(query.get('wait_ms')));
      watches.add(watch);
      response.on('close', () => {
        clearTimeout(watch.timer);
        watches.delete(watch);
      });
      if (listRows(watch.table, (row) => row.revision > watch.since).length > 0) sendWatch(watch);
    } else if (url.pathname === '/rows-tx') {
      const { expected_rev: expected = [], writes = [], remove = [] } = await readJson(request);
      const conflicts = expected.filter(
        (entry) => (findLive(entry)?.revision ?? 0) !== entry.revision,
      );
      if (conflicts.length > 0) {
        const current = conflicts.map(findLive).filter((row) => row !== undefined);
        send(response, 412, { rows: current });
        return;
      }
      apply(writes, remove);
      send(response, 200, {});
    } else send(response, 404, {});
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 120_000;
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    set(table, key, value) {
      apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], []);
    },
    remove(table, key) {
      apply([], [{ table, key }]);
    },
    close() {
      for (const { timer } of watches) clearTimeout(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}
