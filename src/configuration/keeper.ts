/**
 * Keeps the configuration in force on one instance. It hears of versions from the platform and from
 * peers, fetches what it lacks by content hash, and applies only what is higher than what it has.
 *
 * Guards against falling back to an older configuration: it shows after an outage, when a stale
 * read or a peer that was cut off names a lower version. Versions come from one compare-and-set
 * counter, so a higher number is always later, and lower or equal ones are ignored here.
 */
import type { Invariants } from '../runtime/invariants.js';
import type { Declarations } from '../types/declarations.js';
import { assertNever } from '../utils/assert-never.js';
import { hashText } from '../utils/hash.js';
import { createCompiler } from './compile-files.js';
import { formatDeclarationError } from './declaration-error.js';
import { parseManifest } from './manifest.js';
import type { Manifest } from './manifest.js';

/** Marks the platform as a source; every other source is a peer's name. */
export const PLATFORM_SOURCE = 'platform';

/** A chosen poller reads the platform's head this often, in milliseconds. */
export const POLL_MS = 1000;
/** Every other instance does so this often: the way out when all pollers of a data centre fail. */
export const POLL_IDLE_MS = 15_000;
/** A fetch without an end after this long is given up, in milliseconds. */
const FETCH_TIMEOUT_MS = 4000;
/** Sources of a version remembered. */
const SOURCES_KEPT = 8;

/** What a keeper is told. */
export type KeeperMessage =
  | { readonly kind: 'announced'; readonly version: number; readonly source: string }
  | {
      readonly kind: 'fetched';
      readonly version: number;
      readonly manifest: string;
      readonly texts: ReadonlyMap<string, string>;
    }
  | { readonly kind: 'fetch_failed'; readonly source: string }
  | { readonly kind: 'tick'; readonly isPoller: boolean };

/** What a keeper asks for. */
export type KeeperCommand =
  | { readonly kind: 'poll' }
  | { readonly kind: 'fetch'; readonly version: number; readonly source: string }
  | { readonly kind: 'apply'; readonly declarations: Declarations }
  | { readonly kind: 'reject'; readonly version: number; readonly reason: string };

/** The configuration of one instance. */
export interface ConfigurationKeeper {
  handle(message: KeeperMessage, nowMs: number): KeeperCommand[];
  /** The version in force; 0 before the first. */
  getVersion(): number;
  getManifestText(): string;
  /** A text held here, for peers. */
  findText(hash: string): string | undefined;
  /** Hashes of a manifest that are not held here. */
  listMissing(manifest: Manifest): string[];
}

/** Builds a keeper without a configuration. */
export function createConfigurationKeeper(invariants: Invariants): ConfigurationKeeper {
  const compiler = createCompiler();
  let texts = new Map<string, string>();
  let version = 0;
  let manifestText = '';
  let polledMs = -Infinity;
  let fetching: { version: number; source: string; sinceMs: number } | undefined;
  let sources: { version: number; source: string }[] = [];
  let commands: KeeperCommand[] = [];

  function startFetch(nowMs: number): void {
    const isBusy = fetching !== undefined && nowMs - fetching.sinceMs < FETCH_TIMEOUT_MS;
    if (isBusy) return;
    sources = sources.filter((candidate) => candidate.version > version);
    // Peers first: they are near, and the platform's reads are limited.
    const ranked = [...sources].sort(
      (a, b) =>
        b.version - a.version ||
        Number(a.source === PLATFORM_SOURCE) - Number(b.source === PLATFORM_SOURCE),
    );
    const [best] = ranked;
    fetching = best === undefined ? undefined : { ...best, sinceMs: nowMs };
    if (best !== undefined) commands.push({ kind: 'fetch', ...best });
  }

  function handleAnnounced(announced: number, source: string, nowMs: number): void {
    if (announced <= version) return;
    const others = sources.filter((known) => known.source !== source);
    sources = [{ version: announced, source }, ...others].slice(0, SOURCES_KEPT);
    startFetch(nowMs);
  }

  /** Forgets who offered what: a bad version is not asked for again until it is announced again. */
  function refuseVersion(refused: number, reason: string): void {
    sources = [];
    commands.push({ kind: 'reject', version: refused, reason });
  }

  function handleFetched(message: Extract<KeeperMessage, { kind: 'fetched' }>): void {
    fetching = undefined;
    if (message.version <= version) return;
    const manifest = parseManifest(message.manifest);
    const files = new Map<string, string>();
    const kept = new Map<string, string>();
    for (const { name, hash } of manifest.files) {
      const text = texts.get(hash) ?? message.texts.get(hash);
      if (text === undefined || hashText(text) !== hash) {
        refuseVersion(message.version, `${name} came without its text; it is fetched again`);
        return;
      }
      files.set(name, text);
      kept.set(hash, text);
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
    texts = kept;
    commands.push({ kind: 'apply', declarations: declarations.val });
  }

  function handleTick(isPoller: boolean, nowMs: number): void {
    const period = isPoller || version === 0 ? POLL_MS : POLL_IDLE_MS;
    if (nowMs - polledMs >= period) {
      polledMs = nowMs;
      commands.push({ kind: 'poll' });
    }
    startFetch(nowMs);
  }

  function applyMessage(message: KeeperMessage, nowMs: number): void {
    switch (message.kind) {
      case 'announced':
        handleAnnounced(message.version, message.source, nowMs);
        break;
      case 'fetched':
        handleFetched(message);
        startFetch(nowMs);
        break;
      case 'fetch_failed':
        fetching = undefined;
        sources = sources.filter((known) => known.source !== message.source);
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
