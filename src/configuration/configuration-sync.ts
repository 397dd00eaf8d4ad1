/**
 * Keeps the configuration of one instance up to date. The platform and peers announce versions;
 * files that are missing locally are fetched by content hash.
 *
 * Only a version higher than the current one is applied, since a stale read or a peer that was
 * partitioned may announce an older one. Versions come from a single compare-and-set counter, so a
 * higher number is always newer.
 */
import type { Invariants } from '../runtime/invariants.js';
import type { Declarations } from '../types/declarations.js';
import { assertNever } from '../utils/assert-never.js';
import { hashText } from '../utils/hash.js';
import { createCompiler } from './compile-files.js';
import { formatDeclarationError } from './declaration-error.js';
import { parseManifest } from './manifest.js';
import type { Manifest } from './manifest.js';

/** The platform as the source of a version; any other source is the name of a peer. */
export const PLATFORM_SOURCE = 'platform';

/** Polling interval of the instances that poll the platform for their data centre. */
export const POLL_INTERVAL_MS = 1000;
/** Polling interval of all other instances, in case every poller of a data centre fails. */
export const FALLBACK_POLL_INTERVAL_MS = 15_000;
const FETCH_TIMEOUT_MS = 4000;
const SOURCES_MAX = 8;

/** Input of the state machine. */
export type ConfigurationSyncMessage =
  | { readonly kind: 'announced'; readonly version: number; readonly source: string }
  | {
      readonly kind: 'fetched';
      readonly version: number;
      readonly manifest: string;
      readonly texts: ReadonlyMap<string, string>;
    }
  | { readonly kind: 'fetch_failed'; readonly source: string }
  | { readonly kind: 'tick'; readonly isPoller: boolean };

/** An action for the caller to carry out. */
export type ConfigurationSyncCommand =
  | { readonly kind: 'poll' }
  | { readonly kind: 'fetch'; readonly version: number; readonly source: string }
  | { readonly kind: 'apply'; readonly declarations: Declarations }
  | { readonly kind: 'reject'; readonly version: number; readonly reason: string };

export interface ConfigurationSync {
  handle(message: ConfigurationSyncMessage, nowMs: number): ConfigurationSyncCommand[];
  /** The current version; 0 if none has been applied yet. */
  getVersion(): number;
  getManifestText(): string;
  /** Returns the content of a file of the current version, to serve it to peers. */
  findText(hash: string): string | undefined;
  /** Lists the hashes in a manifest whose content is not available locally. */
  listMissing(manifest: Manifest): string[];
}

export function createConfigurationSync(invariants: Invariants): ConfigurationSync {
  const compiler = createCompiler();
  let texts = new Map<string, string>();
  let version = 0;
  let manifestText = '';
  let lastPollMs = -Infinity;
  let pendingFetch: { version: number; source: string; startedMs: number } | undefined;
  let sources: { version: number; source: string }[] = [];
  let commands: ConfigurationSyncCommand[] = [];

  function startFetch(nowMs: number): void {
    const isFetching =
      pendingFetch !== undefined && nowMs - pendingFetch.startedMs < FETCH_TIMEOUT_MS;
    if (isFetching) return;
    sources = sources.filter((candidate) => candidate.version > version);
    // Prefer peers over the platform: they are closer, and the platform limits reads.
    const ranked = [...sources].sort(
      (a, b) =>
        b.version - a.version ||
        Number(a.source === PLATFORM_SOURCE) - Number(b.source === PLATFORM_SOURCE),
    );
    const [bestSource] = ranked;
    pendingFetch = bestSource === undefined ? undefined : { ...bestSource, startedMs: nowMs };
    if (bestSource !== undefined) commands.push({ kind: 'fetch', ...bestSource });
  }

  function handleAnnounced(announcedVersion: number, source: string, nowMs: number): void {
    if (announcedVersion <= version) return;
    const otherSources = sources.filter((candidate) => candidate.source !== source);
    sources = [{ version: announcedVersion, source }, ...otherSources].slice(0, SOURCES_MAX);
    startFetch(nowMs);
  }

  /** Clears the sources, so that a rejected version is not fetched again until it is announced again. */
  function refuseVersion(refusedVersion: number, reason: string): void {
    sources = [];
    commands.push({ kind: 'reject', version: refusedVersion, reason });
  }

  function handleFetched(message: Extract<ConfigurationSyncMessage, { kind: 'fetched' }>): void {
    pendingFetch = undefined;
    if (message.version <= version) return;
    const manifest = parseManifest(message.manifest);
    const files = new Map<string, string>();
    const manifestTexts = new Map<string, string>();
    for (const { name, hash } of manifest.files) {
      const text = texts.get(hash) ?? message.texts.get(hash);
      if (text === undefined || hashText(text) !== hash) {
        refuseVersion(
          message.version,
          `content of ${name} is missing or does not match its hash; waiting for another announcement`,
        );
        return;
      }
      files.set(name, text);
      manifestTexts.set(hash, text);
    }
    const declarations = compiler.build(files, message.version);
    if (declarations.err) {
      refuseVersion(message.version, declarations.val.map(formatDeclarationError).join('; '));
      return;
    }
    invariants.check(
      'configuration_never_reverts',
      message.version > version,
      () => `version ${message.version} after ${version}`,
    );
    version = message.version;
    manifestText = message.manifest;
    texts = manifestTexts;
    commands.push({ kind: 'apply', declarations: declarations.val });
  }

  function handleTick(isPoller: boolean, nowMs: number): void {
    const pollIntervalMs = isPoller || version === 0 ? POLL_INTERVAL_MS : FALLBACK_POLL_INTERVAL_MS;
    if (nowMs - lastPollMs >= pollIntervalMs) {
      lastPollMs = nowMs;
      commands.push({ kind: 'poll' });
    }
    startFetch(nowMs);
  }

  function applyMessage(message: ConfigurationSyncMessage, nowMs: number): void {
    switch (message.kind) {
      case 'announced':
        handleAnnounced(message.version, message.source, nowMs);
        break;
      case 'fetched':
        handleFetched(message);
        startFetch(nowMs);
        break;
      case 'fetch_failed':
        pendingFetch = undefined;
        sources = sources.filter((candidate) => candidate.source !== message.source);
        startFetch(nowMs);
        break;
      case 'tick':
        handleTick(message.isPoller, nowMs);
        break;
      default:
        assertNever(message);
    }
  }

  return {
    handle(message, nowMs) {
      commands = [];
      applyMessage(message, nowMs);
      return commands;
    },
    getVersion: () => version,
    getManifestText: () => manifestText,
    findText: (hash) => texts.get(hash),
    listMissing: (manifest) =>
      manifest.files.map((file) => file.hash).filter((hash) => !texts.has(hash)),
  };
}
