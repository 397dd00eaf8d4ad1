/** Manifests list the files of one configuration version by content hash. */
import { z } from 'zod';
import { hashText } from '../utils/hash.js';

const manifestSchema = z.object({
  files: z.array(z.object({ name: z.string(), hash: z.string() })),
});

export interface ManifestFile {
  readonly name: string;
  readonly hash: string;
}

/** The files of one configuration version, sorted by name. */
export interface Manifest {
  readonly files: readonly ManifestFile[];
}

/** File contents by name. */
export type FolderFiles = ReadonlyMap<string, string>;

/** Serializes a manifest deterministically: equal manifests have equal hashes. */
export function encodeManifest(manifest: Manifest): string {
  const files = [...manifest.files].sort((a, b) => (a.name < b.name ? -1 : 1));
  return JSON.stringify({ files: files.map(({ name, hash }) => ({ name, hash })) });
}

/** @throws if the text is not a valid manifest. */
export function parseManifest(text: string): Manifest {
  return manifestSchema.parse(JSON.parse(text));
}

export function buildManifest(files: FolderFiles): Manifest {
  const listed = [...files].map(([name, text]) => ({ name, hash: hashText(text) }));
  return { files: listed.sort((a, b) => (a.name < b.name ? -1 : 1)) };
}

/** Content hashes of a file in two manifests that differ in it. */
export interface FileChange {
  readonly name: string;
  /** Undefined if the file was added. */
  readonly before: string | undefined;
  /** Undefined if the file was removed. */
  readonly after: string | undefined;
}

/** Lists the files that differ between two manifests, sorted by name. */
export function compareManifests(base: Manifest, next: Manifest): FileChange[] {
  const before = new Map(base.files.map((file) => [file.name, file.hash]));
  const after = new Map(next.files.map((file) => [file.name, file.hash]));
  const names = [...new Set([...before.keys(), ...after.keys()])].sort();
  return names
    .map((name) => ({ name, before: before.get(name), after: after.get(name) }))
    .filter((change) => change.before !== change.after);
}
