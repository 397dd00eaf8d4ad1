/**
 * Client of the platform's transactional table service (DynamoDB JSON protocol: GetItem, Query,
 * TransactWriteItems). An item has a partition key, a sort key, an increasing version and a JSON
 * document.
 */
import { PLATFORM_FAILURE, createPlatformError } from './platform-error.js';
import type { PlatformError } from './platform-error.js';
import type { SignedClient } from './signed-client.js';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';

export interface ItemKey {
  readonly partition: string;
  readonly sort: string;
}

export interface TableItem<T> {
  readonly key: ItemKey;
  readonly version: number;
  readonly document: T;
}

/** One write of a transaction. */
export type TableWrite =
  /** Fails if the item exists. */
  | { readonly kind: 'insert'; readonly key: ItemKey; readonly document: unknown }
  /** Fails unless the item is at `expectedVersion`, which is then incremented. */
  | {
      readonly kind: 'replace';
      readonly key: ItemKey;
      readonly document: unknown;
      readonly expectedVersion: number;
    };

export interface QueryOptions {
  /** Highest sort key first. @default false */
  readonly isReversed?: boolean;
  /** @default 100 */
  readonly limit?: number;
}

export interface TableClient {
  get<T>(key: ItemKey): Promise<Result<TableItem<T> | undefined, PlatformError>>;
  query<T>(
    partition: string,
    options?: QueryOptions,
  ): Promise<Result<TableItem<T>[], PlatformError>>;
  /** Applies all writes or none. */
  transact(writes: readonly TableWrite[]): Promise<Result<void, PlatformError>>;
}

interface WireItem {
  readonly pk: { readonly S: string };
  readonly sk: { readonly S: string };
  readonly version: { readonly N: string };
  readonly document: { readonly S: string };
}

const TARGET_PREFIX = 'DynamoDB_20120810.';
const CONTENT_TYPE = 'application/x-amz-json-1.0';
const CONFLICT_TYPES = ['TransactionCanceledException', 'ConditionalCheckFailedException'];

function encodeKey(key: ItemKey): Pick<WireItem, 'pk' | 'sk'> {
  return { pk: { S: key.partition }, sk: { S: key.sort } };
}

function parseItem<T>(item: WireItem): TableItem<T> {
  return {
    key: { partition: item.pk.S, sort: item.sk.S },
    version: Number(item.version.N),
    document: JSON.parse(item.document.S) as T,
  };
}

function encodeWrite(table: string, write: TableWrite): object {
  const isInsert = write.kind === 'insert';
  const version = isInsert ? 1 : write.expectedVersion + 1;
  const item = {
    ...encodeKey(write.key),
    version: { N: String(version) },
    document: { S: JSON.stringify(write.document) },
  };
  const condition = isInsert
    ? { ConditionExpression: 'attribute_not_exists(pk)' }
    : {
        ConditionExpression: 'version = :expected',
        ExpressionAttributeValues: { ':expected': { N: String(write.expectedVersion) } },
      };
  return { Put: { TableName: table, Item: item, ...condition } };
}

export function createTableClient(client: SignedClient, table: string): TableClient {
  async function send<T>(operation: string, body: object): Promise<Result<T, PlatformError>> {
    const response = await client.send({
      method: 'POST',
      path: '/',
      body: JSON.stringify(body),
      headers: { 'content-type': CONTENT_TYPE, 'x-amz-target': TARGET_PREFIX + operation },
    });
    if (response.err) return response;
    const { status, text } = response.val;
    if (status === 200) return Ok(JSON.parse(text) as T);
    const isConflict = CONFLICT_TYPES.some((type) => text.includes(type));
    if (status === 400 && isConflict) {
      return Err(
        createPlatformError(
          PLATFORM_FAILURE.Conflict,
          `${operation}: an item was changed concurrently; read it again and retry`,
        ),
      );
    }
    return Err(
      createPlatformError(
        PLATFORM_FAILURE.Rejected,
        `${operation}: the table service responded with status ${status}; try again later`,
      ),
    );
  }

  return {
    async get<T>(key: ItemKey) {
      const result = await send<{ Item?: WireItem }>('GetItem', {
        TableName: table,
        Key: encodeKey(key),
        ConsistentRead: true,
      });
      return result.map(({ Item: item }) => (item === undefined ? undefined : parseItem<T>(item)));
    },
    async query<T>(partition: string, options: QueryOptions = {}) {
      const result = await send<{ Items: WireItem[] }>('Query', {
        TableName: table,
        KeyConditionExpression: 'pk = :pk',
        ExpressionAttributeValues: { ':pk': { S: partition } },
        ScanIndexForward: options.isReversed !== true,
        Limit: options.limit ?? 100,
        ConsistentRead: true,
      });
      return result.map(({ Items: items }) => items.map((item) => parseItem<T>(item)));
    },
    async transact(writes) {
      const result = await send<object>('TransactWriteItems', {
        TransactItems: writes.map((write) => encodeWrite(table, write)),
      });
      return result.map(() => undefined);
    },
  };
}
