/** Runs routers and stand-ins in one process on loopback, for the demo and the benchmarks. */
import { randomUUID } from 'node:crypto';
import { stringify } from 'yaml';
import { formatPublishError, publishFiles } from '../configuration/publish.js';
import { createConfigurationStore } from '../configuration/store.js';
import type { ConfigurationStore } from '../configuration/store.js';
import { startRouter } from '../node/router.js';
import type { Router, RouterInternals } from '../node/router.js';
import type { RouterOptions } from '../node/settings.js';
import { createObjectClient } from '../storage/object-client.js';
import { createSignedClient } from '../storage/signed-client.js';
import { createTableClient } from '../storage/table-client.js';
import type { LogLevel } from '../runtime/logger.js';
import { startEngineStandin } from '../standin/engine.js';
import type { EngineStandin } from '../standin/engine.js';
import { startPlatformStandin, STANDIN_CREDENTIALS } from '../standin/platform.js';
import type { PlatformStandin } from '../standin/platform.js';
import { startServiceStandin } from '../standin/service.js';
import type { ServiceStandin } from '../standin/service.js';
import { hashText } from '../utils/hash.js';
import type { ClassDeclaration } from '../types/declarations.js';

/** An organisation with its plain-text key; the published declaration contains the key's hash. */
export interface EmbeddedOrganisation {
  readonly name: string;
  readonly key: string;
  readonly classes: readonly string[];
  readonly weight?: number;
  readonly limits?: { readonly concurrency: number; readonly requestsPerSecond: number };
}

export interface EmbeddedFleetOptions {
  readonly dataCentres: readonly string[];
  readonly routerCount: number;
  readonly engineCount: number;
  /** Engines in other processes, in addition to those started here. */
  readonly externalEngineUrls?: readonly string[];
  readonly serviceCount: number;
  readonly slots: number;
  readonly stepMs: number;
  readonly model: string;
  readonly classes: readonly ClassDeclaration[];
  readonly organisations: readonly EmbeddedOrganisation[];
  readonly logLevel?: LogLevel | 'silent';
  readonly internals?: RouterInternals;
  readonly reportLagMs?: number;
}

export interface EmbeddedFleet {
  readonly platform: PlatformStandin;
  readonly engines: readonly EngineStandin[];
  readonly services: readonly ServiceStandin[];
  readonly routers: readonly Router[];
  readonly store: ConfigurationStore;
  /** Initially published declarations by file name. */
  readonly files: ReadonlyMap<string, string>;
  /** Publishes files, waits until every router applies them and returns the time taken. */
  publish(
    files: ReadonlyMap<string, string>,
    who: string,
  ): Promise<{ version: number; ms: number }>;
  stop(): Promise<void>;
}

export const ENGINE_POOL = 'language-model';
export const SERVICE_POOL = 'stores';
const SHARED_SECRET = 'embedded-fleet-secret';
const WAIT_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 10;

/** Polls until `isDone` returns true; throws an error with the condition's description on timeout. */
export async function waitUntil(
  condition: string,
  isDone: () => boolean,
  timeoutMs = WAIT_TIMEOUT_MS,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!isDone()) {
    if (performance.now() > deadlineMs)
      throw new Error(`timed out after ${timeoutMs} ms waiting for: ${condition}`);
    // eslint-disable-next-line no-await-in-loop
    await new Promise<void>((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
}

function getCyclic<T>(list: readonly T[], index: number): T {
  return list[index % list.length] as T;
}

/** Builds the declaration files. */
function buildFiles(
  options: EmbeddedFleetOptions,
  engines: readonly EngineStandin[],
  services: readonly ServiceStandin[],
): Map<string, string> {
  const classes = Object.fromEntries(
    options.classes.map(({ name, ...declaration }) => [name, declaration]),
  );
  const organisations = Object.fromEntries(
    options.organisations.map((organisation) => [
      organisation.name,
      {
        keys: [`sha256:${hashText(organisation.key)}`],
        classes: [...organisation.classes],
        defaultClass: organisation.classes[0],
        pools: [ENGINE_POOL, SERVICE_POOL],
        ...(organisation.weight === undefined ? {} : { weight: organisation.weight }),
        ...(organisation.limits === undefined ? {} : { limits: organisation.limits }),
      },
    ]),
  );
  const buildEndpoints = (servers: readonly { url: string }[], prefix: string, slots: number) =>
    Object.fromEntries(
      servers.map((server, index) => [
        `${prefix}-${index + 1}`,
        { url: server.url, dataCentre: getCyclic(options.dataCentres, index), slots },
      ]),
    );
  return new Map([
    ['10-classes.yaml', stringify({ classes })],
    [
      '20-pools.yaml',
      stringify({
        pools: {
          [ENGINE_POOL]: {
            kind: 'engine',
            models: [options.model],
            fencing: 'checked',
            endpoints: buildEndpoints(
              [...engines, ...(options.externalEngineUrls ?? []).map((url) => ({ url }))],
              'engine',
              options.slots,
            ),
          },
          [SERVICE_POOL]: { kind: 'service', endpoints: buildEndpoints(services, 'service', 16) },
        },
      }),
    ],
    ['30-organisations.yaml', stringify({ organisations })],
  ]);
}

async function startRouters(options: EmbeddedFleetOptions, platformUrl: string): Promise<Router[]> {
  const routers: Router[] = [];
  for (let index = 0; index < options.routerCount; index += 1) {
    const settings: RouterOptions = {
      name: `entry-${index + 1}`,
      dataCentre: getCyclic(options.dataCentres, index),
      platformTable: platformUrl,
      platformObjects: platformUrl,
      platformInstances: platformUrl,
      platformAccessKeyId: STANDIN_CREDENTIALS.accessKeyId,
      platformSecretAccessKey: STANDIN_CREDENTIALS.secretAccessKey,
      platformToken: STANDIN_CREDENTIALS.token,
      peerSecret: SHARED_SECRET,
      operatorSecret: SHARED_SECRET,
      logLevel: options.logLevel ?? 'silent',
      seeds: routers.slice(0, 2).map((router) => router.peersAddress),
    };
    // Sequential, because each router needs the addresses of the first two as seeds.
    // eslint-disable-next-line no-await-in-loop
    routers.push(await startRouter(settings, options.internals));
  }
  return routers;
}

/** Starts the fleet and publishes its declarations. */
export async function startEmbeddedFleet(options: EmbeddedFleetOptions): Promise<EmbeddedFleet> {
  const platform = await startPlatformStandin({ listLagMs: 500 });
  const engines = await Promise.all(
    Array.from({ length: options.engineCount }, (_, index) =>
      startEngineStandin({
        name: `engine-${index + 1}`,
        stepMs: options.stepMs,
        slots: options.slots,
        models: [options.model],
        ...(options.reportLagMs === undefined ? {} : { reportLagMs: options.reportLagMs }),
      }),
    ),
  );
  const services = await Promise.all(
    Array.from({ length: options.serviceCount }, (_, index) =>
      startServiceStandin(`service-${index + 1}`),
    ),
  );
  const credentials = {
    accessKeyId: STANDIN_CREDENTIALS.accessKeyId,
    secretAccessKey: STANDIN_CREDENTIALS.secretAccessKey,
  };
  const table = createSignedClient({ url: platform.url, service: 'dynamodb', ...credentials });
  const objects = createSignedClient({ url: platform.url, service: 's3', ...credentials });
  const store = createConfigurationStore(
    createTableClient(table, 'hyssoptally'),
    createObjectClient(objects, 'hyssoptally'),
  );
  const routers = await startRouters(options, platform.url);
  const files = buildFiles(options, engines, services);

  async function publish(
    next: ReadonlyMap<string, string>,
    who: string,
  ): Promise<{ version: number; ms: number }> {
    const startedMs = performance.now();
    const published = await publishFiles(store, {
      files: next,
      only: undefined,
      baseVersion: undefined,
      who,
      reason: 'embedded',
      atMs: Date.now(),
      publishId: randomUUID(),
    });
    if (published.err) throw new Error(formatPublishError(published.val));
    const { version } = published.val;
    await waitUntil(`version ${version} applied on every router`, () =>
      routers.every((router) => router.getStatus().configurationVersion >= version),
    );
    return { version, ms: performance.now() - startedMs };
  }

  await publish(files, 'demo');
  await waitUntil('every router lists all routers as members', () =>
    routers.every((router) => router.getStatus().members.length === routers.length),
  );

  return {
    platform,
    engines,
    services,
    routers,
    store,
    files,
    publish,
    async stop() {
      await Promise.all(routers.map((router) => router.stop()));
      await Promise.all([...engines, ...services].map((server) => server.close()));
      await platform.close();
      await table.close();
      await objects.close();
    },
  };
}
