/** A small deployment of separate processes: stand-in platform, engines, a service and routers. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'yaml';
import { hashText } from '../utils/hash.js';
import { fetchStatus, waitFor } from './http.js';
import {
  listPlatformFlags,
  runCtl,
  startProcess,
  startRouterProcess,
  stopProcesses,
} from './processes.js';
import type { TestProcess } from './processes.js';
import { startRelay } from './relay.js';
import type { Relay } from './relay.js';

export const TEST_MODEL = 'assistant';
export const TEST_KEY = 'key-of-the-depots';
export const OTHER_KEY = 'key-of-the-stalls';
export const TEST_DATA_CENTRES = ['peliyagoda', 'wattala'] as const;

export interface ProcessFleet {
  readonly platform: TestProcess;
  readonly engines: readonly TestProcess[];
  readonly service: TestProcess;
  readonly routers: readonly TestProcess[];
  /** One in front of each engine if `hasRelays` was set, otherwise empty. */
  readonly relays: readonly Relay[];
  readonly configurationFolder: string;
  /** Publishes the configuration folder with `hyssoptally-ctl apply`. */
  publish(): Promise<{ code: number; out: string; err: string }>;
  stop(): Promise<void>;
}

export interface ProcessFleetOptions {
  /** @default 2 */
  readonly routers?: number;
  /** @default 2 */
  readonly engines?: number;
  /** Duration of a decoding step of an engine. @default 10 */
  readonly stepMs?: number;
  /** Puts a TCP relay in front of each engine. @default false */
  readonly hasRelays?: boolean;
  readonly engineFlags?: readonly string[];
  readonly routerFlags?: readonly string[];
}

const CLASSES = {
  counter: { tier: 0, firstTokenMs: 1400, betweenTokensMs: 76, deadlineMs: 10_000, floor: 0.1 },
  history: { tier: 1, firstTokenMs: 20_000, betweenTokensMs: 500, deadlineMs: 60_000, floor: 0.1 },
};

function getDataCentre(index: number): string {
  return TEST_DATA_CENTRES[index % TEST_DATA_CENTRES.length] as string;
}

async function writeConfiguration(
  folder: string,
  engineUrls: readonly string[],
  service: TestProcess,
): Promise<void> {
  const endpoints = Object.fromEntries(
    engineUrls.map((url, index) => [
      `engine-${index + 1}`,
      { url, dataCentre: getDataCentre(index), slots: 4 },
    ]),
  );
  const pools = {
    'language-model': { kind: 'engine', models: [TEST_MODEL], endpoints },
    stores: {
      kind: 'service',
      endpoints: {
        'service-1': { url: service.addresses.url, dataCentre: getDataCentre(0), slots: 8 },
      },
    },
  };
  const buildOrganisation = (key: string): object => ({
    keys: [`sha256:${hashText(key)}`],
    classes: ['counter', 'history'],
    defaultClass: 'counter',
    pools: ['language-model', 'stores'],
  });
  const organisations = {
    depots: buildOrganisation(TEST_KEY),
    stalls: buildOrganisation(OTHER_KEY),
  };
  await writeFile(join(folder, '10-classes.yaml'), stringify({ classes: CLASSES }));
  await writeFile(join(folder, '20-pools.yaml'), stringify({ pools }));
  await writeFile(join(folder, '30-organisations.yaml'), stringify({ organisations }));
}

/** Starts a deployment and waits until every router is ready and lists every other as a member. */
export async function startProcessFleet(options: ProcessFleetOptions = {}): Promise<ProcessFleet> {
  const folder = await mkdtemp(join(tmpdir(), 'hyssoptally-'));
  const platform = await startProcess('standin', ['platform', '--list-lag-ms', '200']);
  const platformUrl = platform.addresses.url ?? '';
  const engines = await Promise.all(
    Array.from({ length: options.engines ?? 2 }, (_, index) =>
      startProcess('standin', [
        ...['engine', '--name', `engine-${index + 1}`, '--models', TEST_MODEL, '--slots', '4'],
        ...['--step-ms', String(options.stepMs ?? 10)],
        ...(options.engineFlags ?? []),
      ]),
    ),
  );
  const service = await startProcess('standin', ['service', '--name', 'service-1']);
  const urls = engines.map((engine) => engine.addresses.url ?? '');
  const relays =
    options.hasRelays === true
      ? await Promise.all(urls.map((url) => startRelay(Number(new URL(url).port))))
      : [];
  await writeConfiguration(
    folder,
    relays.length > 0 ? relays.map(({ url }) => url) : urls,
    service,
  );
  const publish = () =>
    runCtl(['apply', folder, '--who', 'tests', ...listPlatformFlags(platformUrl)]);
  const published = await publish();
  if (published.code !== 0) throw new Error(published.err + published.out);
  const routers = await Promise.all(
    Array.from({ length: options.routers ?? 2 }, (_, index) =>
      startRouterProcess({
        name: `entry-${index + 1}`,
        dataCentre: getDataCentre(index),
        platformUrl,
        flags: options.routerFlags ?? [],
      }),
    ),
  );
  await waitFor('every router is ready and lists every other', async () => {
    const statuses = await Promise.all(
      routers.map((router) => fetchStatus(router.addresses.operators ?? '')),
    );
    return statuses.every(
      (status) => status.stage === 'ready' && status.members.length === routers.length,
    );
  });
  return {
    platform,
    engines,
    service,
    routers,
    relays,
    configurationFolder: folder,
    publish,
    async stop() {
      stopProcesses();
      await Promise.all(relays.map((relay) => relay.close()));
      await rm(folder, { recursive: true, force: true });
    },
  };
}
