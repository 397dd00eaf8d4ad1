/**
 * Publishes a folder: uploads the files, then updates the head by compare-and-set in one transaction
 * with an audit record. Concurrent publications are merged by file; if both changed the same file,
 * the later one fails with a conflict.
 */
import { PLATFORM_FAILURE } from '../storage/platform-error.js';
import type { PlatformError } from '../storage/platform-error.js';
import type { Declarations } from '../types/declarations.js';
import { hashText } from '../utils/hash.js';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';
import { createCompiler } from './compile-files.js';
import { formatDeclarationError } from './declaration-error.js';
import type { DeclarationError } from './declaration-error.js';
import { buildManifest, compareManifests, encodeManifest, parseManifest } from './manifest.js';
import type { FileChange, FolderFiles, Manifest } from './manifest.js';
import type { AuditRecord, ConfigurationStore } from './store.js';

/** Attempts to rebase onto a concurrent publication. */
const ROUNDS_MAX = 8;
/** Attempts at a write that gets no response; the compare-and-set makes a retry safe. */
const WRITE_ATTEMPTS_MAX = 4;

export type PublishError =
  | { readonly kind: 'invalid'; readonly errors: readonly DeclarationError[] }
  | {
      readonly kind: 'conflict';
      readonly file: string;
      readonly who: string;
      readonly atMs: number;
      readonly version: number;
    }
  | { readonly kind: 'unknown_base'; readonly version: number }
  | { readonly kind: 'raced'; readonly rounds: number }
  /** The write got no response and its outcome could not be read back. */
  | { readonly kind: 'uncertain'; readonly publishId: string }
  | { readonly kind: 'platform'; readonly error: PlatformError };

export interface PublishRequest {
  /** The desired files; with `only`, all others are ignored. */
  readonly files: FolderFiles;
  /** Names of the files that may change; undefined for all. */
  readonly only: readonly string[] | undefined;
  /** The version the files were edited from; undefined for the current one. */
  readonly baseVersion: number | undefined;
  readonly who: string;
  readonly reason: string;
  readonly atMs: number;
  readonly publishId: string;
}

export interface Published {
  readonly version: number;
  readonly changes: readonly FileChange[];
  readonly declarations: Declarations;
}

const EMPTY_MANIFEST: Manifest = { files: [] };

export function formatPublishError(error: PublishError): string {
  switch (error.kind) {
    case 'invalid':
      return error.errors.map(formatDeclarationError).join('\n');
    case 'conflict':
      return (
        `${error.file} was changed by ${error.who} at ${new Date(error.atMs).toISOString()} ` +
        `(version ${error.version}); run hyssoptally-ctl diff, merge the file by hand, and ` +
        `apply again with --base ${error.version}`
      );
    case 'unknown_base':
      return `version ${error.version} was never published; see hyssoptally-ctl history`;
    case 'raced':
      return `gave up after ${error.rounds} concurrent publications by others; apply again`;
    case 'uncertain':
      return `no response from the platform; publication ${error.publishId} may have taken effect: check hyssoptally-ctl history before applying again`;
    default:
      return error.error.message;
  }
}

interface Head {
  readonly version: number;
  readonly manifest: Manifest;
}

async function loadManifest(
  store: ConfigurationStore,
  hash: string,
): Promise<Result<Manifest, PublishError>> {
  const text = await store.getText(hash);
  if (text.err) return Err({ kind: 'platform', error: text.val });
  return Ok(parseManifest(text.val));
}

async function loadHead(store: ConfigurationStore): Promise<Result<Head, PublishError>> {
  const head = await store.getHead();
  if (head.err) return Err({ kind: 'platform', error: head.val });
  if (head.val === undefined) return Ok({ version: 0, manifest: EMPTY_MANIFEST });
  const { version, document } = head.val;
  const manifest = await loadManifest(store, document.manifestHash);
  return manifest.map((found) => ({ version, manifest: found }));
}

async function loadVersion(
  store: ConfigurationStore,
  version: number,
): Promise<Result<Manifest, PublishError>> {
  if (version === 0) return Ok(EMPTY_MANIFEST);
  const record = await store.getAudit(version);
  if (record.err) return Err({ kind: 'platform', error: record.val });
  if (record.val === undefined) return Err({ kind: 'unknown_base', version });
  return loadManifest(store, record.val.manifestHash);
}

/** Lists the changes of a publication relative to its base version. */
function listOwnChanges(request: PublishRequest, base: Manifest): FileChange[] {
  const changes = compareManifests(base, buildManifest(request.files));
  const { only } = request;
  return only === undefined ? changes : changes.filter((change) => only.includes(change.name));
}

async function buildConflictError(
  store: ConfigurationStore,
  file: string,
  sinceVersion: number,
): Promise<PublishError> {
  const records = await store.listAudit(1000);
  const record = records
    .unwrapOr([])
    .find((entry) => entry.version > sinceVersion && entry.changes.some((c) => c.name === file));
  return {
    kind: 'conflict',
    file,
    who: record?.who ?? 'somebody',
    atMs: record?.atMs ?? 0,
    version: record?.version ?? sinceVersion,
  };
}

/** Finds the first file that both sides changed to different content. */
function findConflict(
  ownChanges: readonly FileChange[],
  otherChanges: readonly FileChange[],
): string | undefined {
  const changed = new Map(otherChanges.map((change) => [change.name, change.after]));
  return ownChanges.find(
    (change) => changed.has(change.name) && changed.get(change.name) !== change.after,
  )?.name;
}

function applyChanges(manifest: Manifest, changes: readonly FileChange[]): Manifest {
  const files = new Map(manifest.files.map((file) => [file.name, file.hash]));
  for (const { name, after } of changes) {
    if (after === undefined) files.delete(name);
    else files.set(name, after);
  }
  return {
    files: [...files]
      .map(([name, hash]) => ({ name, hash }))
      .sort((a, b) => (a.name < b.name ? -1 : 1)),
  };
}

async function loadFiles(
  store: ConfigurationStore,
  manifest: Manifest,
  cachedTexts: ReadonlyMap<string, string>,
): Promise<Result<FolderFiles, PublishError>> {
  const files = new Map<string, string>();
  for (const { name, hash } of manifest.files) {
    const text = cachedTexts.get(hash);
    if (text === undefined) {
      // Sequential, to limit the load on the store.
      // eslint-disable-next-line no-await-in-loop
      const loaded = await store.getText(hash);
      if (loaded.err) return Err({ kind: 'platform', error: loaded.val });
      files.set(name, loaded.val);
    } else {
      files.set(name, text);
    }
  }
  return Ok(files);
}

/**
 * Whether the audit record of this version is this publication's. Unlike the head, the record stays
 * when others publish later versions. Undefined if it could not be read.
 */
async function isPublished(
  store: ConfigurationStore,
  record: AuditRecord,
): Promise<boolean | undefined> {
  const found = await store.getAudit(record.version);
  if (found.err) return undefined;
  return found.val?.publishId === record.publishId;
}

type WriteOutcome = 'published' | 'lost_race' | 'uncertain' | PlatformError;

/**
 * Updates the head. The response may be lost after the write took effect, so the same compare-and-set
 * is retried: it succeeds at most once, and the id in the audit record identifies the writer.
 */
async function publishRecord(
  store: ConfigurationStore,
  record: AuditRecord,
): Promise<WriteOutcome> {
  // Sequential: an attempt is made only if the previous one had no clear outcome.
  for (let attempt = 0; attempt < WRITE_ATTEMPTS_MAX; attempt += 1) {
    // eslint-disable-next-line no-await-in-loop
    const written = await store.publish(record);
    if (written.ok) return 'published';
    const isAmbiguous = written.val.kind === PLATFORM_FAILURE.Ambiguous;
    if (written.val.kind === PLATFORM_FAILURE.Rejected && attempt === 0) return written.val;
    // eslint-disable-next-line no-await-in-loop
    const isOwn = await isPublished(store, record);
    if (isOwn === true) return 'published';
    if (isOwn === false && !isAmbiguous) return 'lost_race';
  }
  return 'uncertain';
}

async function storeTexts(
  store: ConfigurationStore,
  texts: readonly string[],
): Promise<Result<void, PublishError>> {
  // Sequential, to limit the load on the store.
  for (const text of texts) {
    // eslint-disable-next-line no-await-in-loop
    const stored = await store.storeText(text);
    if (stored.err) return Err({ kind: 'platform', error: stored.val });
  }
  return Ok(undefined);
}

export async function publishFiles(
  store: ConfigurationStore,
  request: PublishRequest,
): Promise<Result<Published, PublishError>> {
  const initialHead = await loadHead(store);
  if (initialHead.err) return initialHead;
  const { baseVersion = initialHead.val.version } = request;
  const base =
    baseVersion === initialHead.val.version
      ? Ok(initialHead.val.manifest)
      : await loadVersion(store, baseVersion);
  if (base.err) return base;
  const ownChanges = listOwnChanges(request, base.val);
  const texts = new Map([...request.files.values()].map((text) => [hashText(text), text]));
  const compiler = createCompiler();
  let head = initialHead.val;
  // Sequential: each round rebases onto the head read at the end of the previous one.
  for (let round = 0; round < ROUNDS_MAX; round += 1) {
    const otherChanges = compareManifests(base.val, head.manifest);
    const conflict = findConflict(ownChanges, otherChanges);
    // eslint-disable-next-line no-await-in-loop
    if (conflict !== undefined) return Err(await buildConflictError(store, conflict, baseVersion));
    const manifest = applyChanges(head.manifest, ownChanges);
    // eslint-disable-next-line no-await-in-loop
    const files = await loadFiles(store, manifest, texts);
    if (files.err) return files;
    const version = head.version + 1;
    const declarations = compiler.build(files.val, version);
    if (declarations.err) return Err({ kind: 'invalid', errors: declarations.val });
    const changes = compareManifests(head.manifest, manifest);
    if (changes.length === 0) {
      return Ok({ version: head.version, changes, declarations: declarations.val });
    }
    const added = changes.flatMap((change) => texts.get(change.after ?? '') ?? []);
    const manifestText = encodeManifest(manifest);
    // eslint-disable-next-line no-await-in-loop
    const stored = await storeTexts(store, [...added, manifestText]);
    if (stored.err) return stored;
    // eslint-disable-next-line no-await-in-loop
    const outcome = await publishRecord(store, {
      version,
      fromVersion: head.version,
      who: request.who,
      atMs: request.atMs,
      publishId: request.publishId,
      manifestHash: hashText(manifestText),
      reason: request.reason,
      changes,
    });
    if (outcome === 'published') return Ok({ version, changes, declarations: declarations.val });
    if (outcome === 'uncertain') return Err({ kind: 'uncertain', publishId: request.publishId });
    if (outcome !== 'lost_race') return Err({ kind: 'platform', error: outcome });
    // eslint-disable-next-line no-await-in-loop
    const next = await loadHead(store);
    if (next.err) return next;
    head = next.val;
  }
  return Err({ kind: 'raced', rounds: ROUNDS_MAX });
}

/** Loads the files of a published version, by default the current one. */
export async function loadPublished(
  store: ConfigurationStore,
  version: number | undefined,
): Promise<Result<{ readonly version: number; readonly files: FolderFiles }, PublishError>> {
  const head = await loadHead(store);
  if (head.err) return head;
  const requestedVersion = version ?? head.val.version;
  const manifest = await loadVersion(store, requestedVersion);
  if (manifest.err) return manifest;
  const files = await loadFiles(store, manifest.val, new Map());
  return files.map((loaded) => ({ version: requestedVersion, files: loaded }));
}
