import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { ExecutionContext } from 'ava';
import { describe } from '../test/describe.js';
import { runCached } from './code-cache.js';

function writeSource(t: ExecutionContext, source: string): string {
  const folder = mkdtempSync(join(tmpdir(), 'hyssoptally-cache-'));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const path = join(folder, 'bundle.cjs');
  writeFileSync(path, source);
  return path;
}

const SOURCE = "exports.separator = require('node:path').sep; exports.folder = __dirname;";

describe('code cache', ({ it }) => {
  it('evaluates a file without a cache, then with the cache it wrote', (t) => {
    const path = writeSource(t, SOURCE);
    const first = runCached(path);
    t.false(first.isCached);
    t.is(first.exports.separator, '/');
    first.writeCache();
    const second = runCached(path);
    t.true(second.isCached);
    t.deepEqual(second.exports, first.exports);
  });

  // Guards against a process that runs outdated code or does not start.
  it('ignores a cache of other source or a damaged one', (t) => {
    const path = writeSource(t, SOURCE);
    runCached(path).writeCache();
    writeFileSync(path, 'exports.value = 7;');
    const changed = runCached(path);
    t.false(changed.isCached);
    t.is(changed.exports.value, 7);
    writeFileSync(`${path}.cache`, 'damaged');
    t.is(runCached(path).exports.value, 7);
  });

  it('throws what the file throws', (t) => {
    const path = writeSource(t, "throw new Error('settings are missing');");
    t.throws(() => runCached(path), { message: 'settings are missing' });
  });
});
