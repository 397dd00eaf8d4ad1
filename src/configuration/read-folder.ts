import { readFile, readdir } from 'node:fs/promises';
import { join } from 'node:path';
import type { FolderFiles } from './manifest.js';

const FILE_PATTERN = /\.ya?ml$/;

/** Reads the YAML files of a folder, without subfolders. */
export async function readFolder(folder: string): Promise<FolderFiles> {
  const entries = await readdir(folder, { withFileTypes: true });
  const names = entries
    .filter((entry) => entry.isFile() && FILE_PATTERN.test(entry.name))
    .map((entry) => entry.name)
    .sort();
  const texts = await Promise.all(names.map((name) => readFile(join(folder, name), 'utf8')));
  return new Map(names.map((name, index) => [name, texts[index] ?? '']));
}
