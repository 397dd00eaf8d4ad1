/** Reads a folder of declaration files. */
import { readFile, readdir } from 'node:fs/promises';
import { join } from 'node:path';
import type { FolderFiles } from './manifest.js';

const FILE_PATTERN = /\.ya?ml$/;

/** The YAML files directly in a folder, by name. */
export async function readFolder(folder: string): Promise<FolderFiles> {
  const entries = await readdir(folder, { withFileTypes: true });
  const names = entries
    .filter((entry) => entry.isFile() && FILE_PATTERN.test(entry.name))
    .map((entry) => entry.name)
    .sort();
  const texts = await Promise.all(names.map((name) => readFile(join(folder, name), 'utf8')));
  return new Map(names.map((name, index) => [name, texts[index] ?? '']));
}
