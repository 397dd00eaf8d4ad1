/**
 * In-memory stand-in for the platform: a transactional table service, an object store and an
 * instance list that is updated with a delay. `POST /faults` injects faults.
 */
import { createHash } from 'node:crypto';
import aws4 from 'aws4';
import express from 'express';
import type { Request, Response } from 'express';
import type { ListedInstance } from '../storage/instance-list-client.js';
import { startHttpServer } from './http-server.js';
import { DEFAULT_FAULTS, createRateLimiter, platformFaultsSchema } from './platform-faults.js';
import type { PlatformFaults } from './platform-faults.js';
import type { RunningServer } from './http-server.js';

interface TableItem {
  readonly pk: { readonly S: string };
  readonly sk: { readonly S: string };
  readonly version: { readonly N: string };
}

interface PutOperation {
  readonly Item: TableItem;
  readonly ConditionExpression?: string;
  readonly ExpressionAttributeValues?: Readonly<Record<string, { readonly N: string }>>;
}

interface ItemVersion {
  readonly item: TableItem;
  readonly writtenAtMs: number;
}

export interface PlatformStandinOptions {
  /** @default 0 (any free port) */
  readonly port?: number;
  /** Delay before a change appears in the instance list. @default 2000 */
  readonly listLagMs?: number;
  readonly accessKeyId?: string;
  readonly secretAccessKey?: string;
  readonly token?: string;
}

/** Counters served by `GET /counts`. */
export interface PlatformCounts {
  reads: number;
  writes: number;
  conflicts: number;
  throttled: number;
}

export interface PlatformStandin extends RunningServer {
  setFaults(faults: Partial<PlatformFaults>): void;
  readonly counts: PlatformCounts;
}

/** Default credentials, for tests and the demo only. */
export const STANDIN_CREDENTIALS = {
  accessKeyId: 'standin',
  secretAccessKey: 'standin-secret',
  token: 'standin-token',
} as const;

const INSTANCE_EXPIRY_MS = 10_000;
const MAX_ITEM_VERSIONS = 50;

export async function startPlatformStandin(
  options: PlatformStandinOptions = {},
): Promise<PlatformStandin> {
  const credentials = {
    accessKeyId: options.accessKeyId ?? STANDIN_CREDENTIALS.accessKeyId,
    secretAccessKey: options.secretAccessKey ?? STANDIN_CREDENTIALS.secretAccessKey,
  };
  const token = options.token ?? STANDIN_CREDENTIALS.token;
  const listLagMs = options.listLagMs ?? 2000;
  let faults: PlatformFaults = { ...DEFAULT_FAULTS };
  const counts: PlatformCounts = { reads: 0, writes: 0, conflicts: 0, throttled: 0 };
  const tables = new Map<string, Map<string, ItemVersion[]>>();
  const objects = new Map<string, string>();
  const instances = new Map<
    string,
    { instance: ListedInstance; registeredAtMs: number; lastSeenMs: number }
  >();
  const takeReadToken = createRateLimiter(() => faults.readsPerSecond);
  const takeWriteToken = createRateLimiter(() => faults.writesPerSecond);

  function getPartition(partition: string): Map<string, ItemVersion[]> {
    const items = tables.get(partition) ?? new Map<string, ItemVersion[]>();
    tables.set(partition, items);
    return items;
  }

  function findItem(
    partition: string,
    sort: string,
    isStaleAllowed: boolean,
  ): TableItem | undefined {
    const versions = getPartition(partition).get(sort) ?? [];
    const asOfMs = performance.now() - (isStaleAllowed ? faults.staleMs : 0);
    return versions.findLast((version) => version.writtenAtMs <= asOfMs)?.item;
  }

  function isConditionMet(put: PutOperation): boolean {
    const current = findItem(put.Item.pk.S, put.Item.sk.S, false);
    if (put.ConditionExpression === undefined) return true;
    if (put.ConditionExpression === 'attribute_not_exists(pk)') return current === undefined;
    const expected = put.ExpressionAttributeValues?.[':expected']?.N;
    return current !== undefined && current.version.N === expected;
  }

  function applyPuts(puts: readonly PutOperation[]): boolean {
    if (!puts.every(isConditionMet)) {
      counts.conflicts += 1;
      return false;
    }
    for (const { Item: item } of puts) {
      const partition = getPartition(item.pk.S);
      const versions = [
        ...(partition.get(item.sk.S) ?? []),
        { item, writtenAtMs: performance.now() },
      ];
      partition.set(item.sk.S, versions.slice(-MAX_ITEM_VERSIONS));
    }
    return true;
  }

  function isSigned(request: Request, body: string, service: 'dynamodb' | 's3'): boolean {
    const { authorization, host, ...rest } = request.headers;
    const names = /SignedHeaders=([^,]+)/.exec(authorization ?? '')?.[1]?.split(';') ?? [];
    const headers: Record<string, string> = {};
    for (const name of names) {
      const value = rest[name];
      if (name !== 'host' && typeof value === 'string') headers[name] = value;
    }
    const expected = aws4.sign(
      {
        host: host ?? '',
        method: request.method,
        path: request.originalUrl,
        service,
        region: 'platform',
        headers,
        ...(body === '' ? {} : { body }),
      },
      credentials,
    );
    return expected.headers?.Authorization === authorization;
  }

  function sendTableError(response: Response, type: string): void {
    response.status(400).json({ __type: `com.amazonaws.dynamodb.v20120810#${type}` });
  }

  function handleTransact(response: Response, puts: readonly PutOperation[]): void {
    counts.writes += puts.length;
    if (faults.lateWrites > 0) {
      // Simulates a write delayed in the network: the client times out and the write applies later.
      faults.lateWrites -= 1;
      setTimeout(() => applyPuts(puts), faults.lateWriteMs).unref();
      return;
    }
    const isApplied = applyPuts(puts);
    if (isApplied && faults.lostAnswers > 0) {
      faults.lostAnswers -= 1;
      response.destroy();
      return;
    }
    if (isApplied) response.json({});
    else sendTableError(response, 'TransactionCanceledException');
  }

  function handleQuery(response: Response, body: Record<string, unknown>): void {
    const values = body.ExpressionAttributeValues as Record<string, { S: string }>;
    const partition = values[':pk']?.S ?? '';
    const sorts = [...getPartition(partition).keys()].sort();
    if (body.ScanIndexForward === false) sorts.reverse();
    const items = sorts
      .map((sort) => findItem(partition, sort, true))
      .filter((item) => item !== undefined)
      .slice(0, Number(body.Limit ?? 100));
    response.json({ Items: items });
  }

  function handleTable(request: Request, response: Response): void {
    const text = String(request.body);
    if (!isSigned(request, text, 'dynamodb')) {
      sendTableError(response, 'InvalidSignatureException');
      return;
    }
    const operation = String(request.headers['x-amz-target']).split('.')[1];
    const body = JSON.parse(text) as Record<string, unknown>;
    const isWrite = operation === 'TransactWriteItems';
    if (!(isWrite ? takeWriteToken() : takeReadToken())) {
      counts.throttled += 1;
      sendTableError(response, 'ThrottlingException');
      return;
    }
    if (isWrite) {
      const items = body.TransactItems as readonly { readonly Put: PutOperation }[];
      handleTransact(
        response,
        items.map((item) => item.Put),
      );
      return;
    }
    counts.reads += 1;
    if (operation === 'Query') {
      handleQuery(response, body);
      return;
    }
    const key = body.Key as Pick<TableItem, 'pk' | 'sk'>;
    const item = findItem(key.pk.S, key.sk.S, true);
    response.json(item === undefined ? {} : { Item: item });
  }

  function handleObject(request: Request, response: Response): void {
    const isWrite = request.method === 'PUT';
    const text = isWrite ? String(request.body) : '';
    if (!isSigned(request, text, 's3')) {
      response.status(403).end();
      return;
    }
    if (isWrite) {
      counts.writes += 1;
      objects.set(request.path, text);
      response.set('etag', createHash('md5').update(text).digest('hex')).end();
      return;
    }
    counts.reads += 1;
    const found = objects.get(request.path);
    if (found === undefined) response.status(404).end();
    else response.type('application/octet-stream').send(found);
  }

  function listInstances(): ListedInstance[] {
    const nowMs = performance.now();
    return [...instances.values()]
      .filter(
        (entry) =>
          nowMs - entry.registeredAtMs >= listLagMs &&
          nowMs - entry.lastSeenMs < INSTANCE_EXPIRY_MS,
      )
      .map((entry) => entry.instance);
  }

  function handleRegistration(request: Request, response: Response): void {
    const instance = JSON.parse(String(request.body)) as ListedInstance;
    const known = instances.get(instance.name);
    const nowMs = performance.now();
    const isStateChanged = known !== undefined && known.instance.state !== instance.state;
    // A state change becomes visible only after the delay, as in the real list.
    if (isStateChanged)
      setTimeout(
        () => instances.set(instance.name, { instance, registeredAtMs: 0, lastSeenMs: nowMs }),
        listLagMs,
      ).unref();
    else
      instances.set(instance.name, {
        instance,
        registeredAtMs: known?.registeredAtMs ?? nowMs,
        lastSeenMs: nowMs,
      });
    response.json({});
  }

  const app = express();
  app.use(express.text({ type: () => true, limit: '16mb' }));
  app.post('/faults', (request, response) => {
    const parsed = platformFaultsSchema.safeParse(JSON.parse(String(request.body)));
    if (parsed.success) faults = { ...faults, ...parsed.data };
    response.status(parsed.success ? 200 : 400).json(parsed.success ? faults : parsed.error.issues);
  });
  app.get('/counts', (_, response) => {
    response.json(counts);
  });
  app.use((_, response, next) => {
    if (faults.isSilent) return;
    if (faults.isDown) response.status(503).end();
    else if (faults.delayMs > 0) setTimeout(next, faults.delayMs);
    else next();
  });
  app.use('/instances', (request, response, next) => {
    if (request.headers.authorization === `Bearer ${token}`) next();
    else response.status(401).end();
  });
  app.get('/instances', (_, response) => {
    response.json(listInstances());
  });
  app.put('/instances/:name', handleRegistration);
  app.post('/', handleTable);
  app.use(handleObject);
  const server = await startHttpServer(app, options.port ?? 0);
  return {
    ...server,
    counts,
    setFaults(next) {
      faults = { ...faults, ...next };
    },
  };
}
