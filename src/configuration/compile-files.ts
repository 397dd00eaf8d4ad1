/** Turns file texts into declarations; files that did not change are not parsed again. */
import { Err } from '../utils/result.js';
import type { Result } from '../utils/result.js';
import { createBoundedMap } from '../utils/bounded-map.js';
import { hashText } from '../utils/hash.js';
import type { Declarations } from '../types/declarations.js';
import type { DeclarationError } from './declaration-error.js';
import type { FolderFiles } from './manifest.js';
import { mergeFiles } from './merge-files.js';
import { parseDeclarationFile } from './parse-file.js';
import type { ParsedFile } from './parse-file.js';

/** Parsed files kept. */
const PARSED_KEPT = 20_000;

/** Compiles folders into declarations. */
export interface Compiler {
  build(files: FolderFiles, version: number): Result<Declarations, readonly DeclarationError[]>;
}

/** Builds a compiler with an empty cache. */
export function createCompiler(): Compiler {
  const cache = createBoundedMap<string, ParsedFile>(PARSED_KEPT);
  return {
    build(files, version) {
      const parsed: ParsedFile[] = [];
      const errors: DeclarationError[] = [];
      for (const [name, text] of files) {
        const key = `${name}|${hashText(text)}`;
        const known = cache.get(key);
        const result = known === undefined ? parseDeclarationFile(name, text) : undefined;
        if (known !== undefined) parsed.push(known);
        else if (result?.ok === true) {
          cache.set(key, result.val);
          parsed.push(result.val);
        } else if (result?.err === true) errors.push(...result.val);
      }
      return errors.length > 0 ? Err(errors) : mergeFiles(parsed, version);
    },
  };
}
