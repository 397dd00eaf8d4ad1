/** Exits with 0 if node_modules matches package-lock.json, otherwise with 1. */
import { existsSync, readFileSync, statSync } from 'node:fs';

const INSTALLED_LOCKFILE = 'node_modules/.package-lock.json';

function isInstalled() {
  if (!existsSync(INSTALLED_LOCKFILE)) return false;
  const expected = JSON.parse(readFileSync('package-lock.json', 'utf8')).packages;
  const installed = JSON.parse(readFileSync(INSTALLED_LOCKFILE, 'utf8')).packages;
  return Object.entries(expected).every(
    ([path, entry]) =>
      path === '' || entry.optional === true || installed[path]?.version === entry.version,
  );
}

process.exit(isInstalled() && statSync('node_modules').isDirectory() ? 0 : 1);
