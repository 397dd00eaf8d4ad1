/** A manifest lists the files of one configuration by content hash. */
import { z } from 'zod';
import { hashText } from '../utils/hash.js';

const manifestSchema = z.object({
  files: z.array(z.object({ name: z.string(), hash: z.string() })),
});

/** One file of a manifest. */
export interface ManifestFile {
  readonly name: string;
  readonly hash: string;
}

/** The files of one configuration, in the order of their names. */
export interface Manifest {
  readonly files: readonly ManifestFile[];
}

/** File contents by name. */
export type FolderFiles = ReadonlyMap<string, string>;

/** The text that is stored and hashed; equal manifests give equal text. */
export function encodeManifest(manifest: Manifest): string {
  const files = [...manifest.files].sort((a, b) => (a.name < b.name ? -1 : 1));
  return JSON.stringify({ files: files.map(({ name, hash }) => ({ name, hash })) });
}

/** Reads a stored manifest; throws when it is not one. */
export function parseManifest(text: string): Manifest {
  return manifestSchema.parse(JSON.parse(text));
}

/** The manifest of a folder's files. */
export function buildManifest(files: FolderFiles): Manifest {
  const listed = [...files].map(([name, text]) => ({ name, hash: hashText(text) }));
  return { files: listed.sort((a, b) => (a.name < b.name ? -1 : 1)) };
}

/** How one file differs between two manifests. */
export interface FileChange {
  readonly name: string;
  /** Undefined for a new file. */
  readonly before: string | undefined;
  /** Undefined for a removed file. */
  readonly after: string | undefined;
}

/** The files in which `next` differs from `base`. */
export function compareManifests(base: Manifest, next: Manifest): FileChange[] {
  const before = new Map(base.files.map((file) => [file.name, file.hash]));
  const after = new Map(next.files.map((file) => [file.name, file.hash]));
  const names = [...new Set([...before.keys(), ...after.keys()])].sort();
  return names
    .map((name) => ({ name, before: before.get(name), after: after.get(name) }))
    .filter((change) => change.before !== change.after);
}
