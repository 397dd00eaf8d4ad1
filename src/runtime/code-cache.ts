/**
 * Evaluates a CommonJS file with V8's code cache, so that a process does not compile it again. A cache
 * that is missing, damaged or made by another version or with other flags of V8 is ignored.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname } from 'node:path';
import { Script } from 'node:vm';

const CACHE_SUFFIX = '.cache';

/** A file that was evaluated. */
export interface EvaluatedFile {
  readonly exports: Readonly<Record<string, unknown>>;
  /** Whether the cache was used. */
  readonly isCached: boolean;
  /** Writes the cache, with the functions that were compiled so far. */
  writeCache(): void;
}

type ModuleFunction = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: Record<string, unknown> },
  filename: string,
  folder: string,
) => void;

function readCache(path: string): Buffer | undefined {
  return existsSync(path) ? readFileSync(path) : undefined;
}

/** Evaluates the file at an absolute path; throws if it cannot be read or throws itself. */
export function runCached(path: string): EvaluatedFile {
  const cachePath = `${path}${CACHE_SUFFIX}`;
  const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(path, 'utf8')}\n})`;
  const cachedData = readCache(cachePath);
  const script = new Script(source, { filename: path, ...(cachedData && { cachedData }) });
  const module = { exports: {} as Record<string, unknown> };
  const runModule = script.runInThisContext() as ModuleFunction;
  runModule(module.exports, createRequire(path), module, path, dirname(path));
  return {
    exports: module.exports,
    isCached: script.cachedDataRejected === false,
    writeCache: () => writeFileSync(cachePath, script.createCachedData()),
  };
}
