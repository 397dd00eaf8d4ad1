/** Compiles declaration files; unchanged files are served from a parse cache. */
import { Err } from '../utils/result.js';
import type { Result } from '../utils/result.js';
import type { Declarations } from '../types/declarations.js';
import type { DeclarationError } from './declaration-error.js';
import type { FolderFiles } from './manifest.js';
import { mergeFiles } from './merge-files.js';
import { parseDeclarationFile } from './parse-file.js';
import type { ParsedFile } from './parse-file.js';

interface CachedFile {
  readonly text: string;
  readonly parsed: ParsedFile;
}

export interface Compiler {
  build(files: FolderFiles, version: number): Result<Declarations, readonly DeclarationError[]>;
}

export function createCompiler(): Compiler {
  let cache = new Map<string, CachedFile>();
  return {
    build(files, version) {
      const nextCache = new Map<string, CachedFile>();
      const errors: DeclarationError[] = [];
      for (const [name, text] of files) {
        const cached = cache.get(name);
        if (cached?.text === text) {
          nextCache.set(name, cached);
        } else {
          const result = parseDeclarationFile(name, text);
          if (result.ok) nextCache.set(name, { text, parsed: result.val });
          else errors.push(...result.val);
        }
      }
      if (errors.length > 0) return Err(errors);
      cache = nextCache;
      return mergeFiles(
        [...nextCache.values()].map(({ parsed }) => parsed),
        version,
      );
    },
  };
}
