/** Flags for access to the platform. */
import { createConfigurationStore } from '../configuration/store.js';
import type { ConfigurationStore } from '../configuration/store.js';
import { createObjectClient } from '../storage/object-client.js';
import { createSignedClient } from '../storage/signed-client.js';
import { createTableClient } from '../storage/table-client.js';

export const PLATFORM_FLAGS = {
  'platform-table': {
    type: 'string',
    describe: 'URL of the platform’s table service',
  },
  'platform-objects': {
    type: 'string',
    describe: 'URL of the platform’s object store',
  },
  'platform-access-key-id': {
    type: 'string',
    describe: 'access key of the table service and object store',
  },
  'platform-secret-access-key': {
    type: 'string',
    describe: 'secret for the access key',
  },
} as const;

/** The flags that commands with access to the platform require. */
export const PLATFORM_FLAG_NAMES = [
  'platform-table',
  'platform-objects',
  'platform-access-key-id',
  'platform-secret-access-key',
] as const;

export interface PlatformArguments {
  readonly platformTable: string;
  readonly platformObjects: string;
  readonly platformAccessKeyId: string;
  readonly platformSecretAccessKey: string;
}

/** Returns the platform's settings if all of them are given. */
export function findPlatformArguments(
  args: Partial<Readonly<Record<keyof PlatformArguments, string | undefined>>>,
): PlatformArguments | undefined {
  const { platformTable, platformObjects, platformAccessKeyId, platformSecretAccessKey } = args;
  if (platformTable === undefined || platformObjects === undefined) return undefined;
  if (platformAccessKeyId === undefined || platformSecretAccessKey === undefined) return undefined;
  return { platformTable, platformObjects, platformAccessKeyId, platformSecretAccessKey };
}

export interface StoreConnection {
  readonly store: ConfigurationStore;
  close(): Promise<void>;
}

export function openConfigurationStore(args: PlatformArguments): StoreConnection {
  const credentials = {
    accessKeyId: args.platformAccessKeyId,
    secretAccessKey: args.platformSecretAccessKey,
  };
  const table = createSignedClient({
    url: args.platformTable,
    service: 'dynamodb',
    ...credentials,
  });
  const objects = createSignedClient({ url: args.platformObjects, service: 's3', ...credentials });
  return {
    store: createConfigurationStore(
      createTableClient(table, 'hyssoptally'),
      createObjectClient(objects, 'hyssoptally'),
    ),
    async close() {
      await table.close();
      await objects.close();
    },
  };
}
