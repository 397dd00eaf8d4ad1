/** Executes the commands of the configuration keeper: polls, fetches and applies configurations. */
import { createConfigurationSync, PLATFORM_SOURCE } from '../configuration/configuration-sync.js';
import type {
  ConfigurationSyncCommand,
  ConfigurationSyncMessage,
} from '../configuration/configuration-sync.js';
import { parseManifest } from '../configuration/manifest.js';
import type { ConfigurationStore } from '../configuration/store.js';
import type { FetchConfigurationResponse } from '../gen/peer_pb.js';
import type { Invariants } from '../runtime/invariants.js';
import type { Logger } from '../runtime/logger.js';
import { METRIC } from '../runtime/metrics.js';
import type { Metrics } from '../runtime/metrics.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { Declarations } from '../types/declarations.js';
import { assertNever } from '../utils/assert-never.js';

const TICK_MS = 200;
const TEXTS_PER_REQUEST = 200;
/** Concurrent reads from the object store. */
const CONCURRENT_READS_MAX = 8;

interface FetchedConfiguration {
  readonly version: number;
  readonly manifest: string;
  readonly texts: ReadonlyMap<string, string>;
}

export interface ConfigurationRunnerOptions {
  readonly store: ConfigurationStore;
  readonly timers: TimerService;
  readonly invariants: Invariants;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Whether this instance polls the platform for its data centre. */
  readonly isPoller: () => boolean;
  /** Undefined if the peer is unknown; rejects if it does not answer. */
  readonly fetchFromPeer: (
    peer: string,
    hashes: readonly string[],
  ) => Promise<FetchConfigurationResponse | undefined>;
  readonly onApply: (declarations: Declarations) => void;
}

export interface ConfigurationRunner {
  /** Handles a configuration version announced by a peer. */
  handle(peer: string, version: number): void;
  getVersion(): number;
  /** Builds the response to a peer: the manifest and the requested texts that are known. */
  buildResponse(hashes: readonly string[]): FetchConfigurationResponse;
}

/** Creates a runner and starts polling. */
export function createConfigurationRunner(
  options: ConfigurationRunnerOptions,
): ConfigurationRunner {
  const { store, timers, metrics, logger } = options;
  const configurationSync = createConfigurationSync(options.invariants);
  const getNow = (): number => timers.clock.monotonicMs();

  async function runPoll(): Promise<void> {
    const head = await store.getHead();
    if (head.err || head.val === undefined) return;
    handleMessage({ kind: 'announced', version: head.val.version, source: PLATFORM_SOURCE });
  }

  async function fetchFromPlatform(): Promise<FetchedConfiguration | undefined> {
    const head = await store.getHead();
    if (head.err || head.val === undefined) return undefined;
    const manifest = await store.getText(head.val.document.manifestHash);
    if (manifest.err) return undefined;
    const missing = configurationSync.listMissing(parseManifest(manifest.val));
    const texts = new Map<string, string>();
    for (let start = 0; start < missing.length; start += CONCURRENT_READS_MAX) {
      const hashes = missing.slice(start, start + CONCURRENT_READS_MAX);
      // Reads in batches because the platform limits reads.
      // eslint-disable-next-line no-await-in-loop
      const loaded = await Promise.all(hashes.map((hash) => store.getText(hash)));
      loaded.forEach((text, index) => {
        if (text.ok) texts.set(hashes[index] ?? '', text.val);
      });
    }
    return { version: head.val.version, manifest: manifest.val, texts };
  }

  async function fetchFromPeer(peer: string): Promise<FetchedConfiguration | undefined> {
    const head = await options.fetchFromPeer(peer, []);
    if (head === undefined) return undefined;
    const { version, manifest } = head;
    const missing = configurationSync.listMissing(parseManifest(manifest));
    const texts = new Map<string, string>();
    for (let start = 0; start < missing.length; start += TEXTS_PER_REQUEST) {
      const hashes = missing.slice(start, start + TEXTS_PER_REQUEST);
      // One request at a time, to limit the load on the peer.
      // eslint-disable-next-line no-await-in-loop
      const answer = await options.fetchFromPeer(peer, hashes);
      for (const blob of answer?.blobs ?? []) texts.set(blob.hash, blob.text);
    }
    return { version, manifest, texts };
  }

  async function runFetch(source: string): Promise<void> {
    const fetched =
      source === PLATFORM_SOURCE ? await fetchFromPlatform() : await fetchFromPeer(source);
    if (fetched === undefined) handleMessage({ kind: 'fetch_failed', source });
    else handleMessage({ kind: 'fetched', ...fetched });
  }

  function runCommand(command: ConfigurationSyncCommand): void {
    switch (command.kind) {
      case 'poll':
        runPoll().catch(() => undefined);
        break;
      case 'fetch':
        runFetch(command.source).catch(() => {
          handleMessage({ kind: 'fetch_failed', source: command.source });
        });
        break;
      case 'apply':
        metrics.set(METRIC.ConfigurationVersion, command.declarations.version);
        logger.info('configuration in force', { version: command.declarations.version });
        options.onApply(command.declarations);
        break;
      case 'reject':
        metrics.count(METRIC.ConfigurationErrors);
        logger.error('configuration rejected; the one in force stays', {
          version: command.version,
          reason: command.reason,
        });
        break;
      default:
        assertNever(command);
    }
  }

  function handleMessage(message: ConfigurationSyncMessage): void {
    for (const command of configurationSync.handle(message, getNow())) runCommand(command);
  }

  timers.subscribe(TICK_MS, () => handleMessage({ kind: 'tick', isPoller: options.isPoller() }));

  return {
    handle(peer, version) {
      handleMessage({ kind: 'announced', version, source: peer });
    },
    getVersion: () => configurationSync.getVersion(),
    buildResponse: (hashes) => ({
      $typeName: 'hyssoptally.peer.v1.FetchConfigurationResponse',
      version: configurationSync.getVersion(),
      manifest: configurationSync.getManifestText(),
      blobs: hashes.flatMap((hash) => {
        const text = configurationSync.findText(hash);
        if (text === undefined) return [];
        return [{ $typeName: 'hyssoptally.peer.v1.ConfigurationBlob' as const, hash, text }];
      }),
    }),
  };
}
