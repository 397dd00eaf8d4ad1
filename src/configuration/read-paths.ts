/** Reads declaration files that are named one by one or by their folder. */
import { readFile, stat } from 'node:fs/promises';
import { basename } from 'node:path';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';
import type { FolderFiles } from './manifest.js';
import { readFolder } from './read-folder.js';

async function readPath(path: string): Promise<FolderFiles> {
  const found = await stat(path);
  if (found.isDirectory()) return readFolder(path);
  return new Map([[basename(path), await readFile(path, 'utf8')]]);
}

/**
 * Reads files and folders as one configuration. As in a published one, a file is known by its name
 * without its folder, so two files of the same name are refused.
 */
export async function readPaths(paths: readonly string[]): Promise<Result<FolderFiles, string>> {
  const files = new Map<string, string>();
  // Sequential: the first path that cannot be read is reported.
  for (const path of paths) {
    let found: FolderFiles;
    try {
      // eslint-disable-next-line no-await-in-loop
      found = await readPath(path);
    } catch (error) {
      return Err(`${path} cannot be read: ${error instanceof Error ? error.message : 'unknown'}`);
    }
    for (const [name, text] of found) {
      if (files.has(name)) {
        return Err(
          `${path}: a file named ${name} is already given; rename one or check them apart`,
        );
      }
      files.set(name, text);
    }
  }
  if (files.size === 0) return Err(`${paths.join(', ')}: no YAML files; name files or a folder`);
  return Ok(files);
}
