/** Exits with 0 if node_modules matches package-lock.json, otherwise with 1. */
import { existsSync, readFileSync, statSync } from 'node:fs';

const INSTALLED = 'node_modules/.package-lock.json';

function isInstalled() {
  if (!existsSync(INSTALLED)) return false;
  const wanted = JSON.parse(readFileSync('package-lock.json', 'utf8')).packages;
  const found = JSON.parse(readFileSync(INSTALLED, 'utf8')).packages;
  return Object.entries(wanted).every(
    ([path, entry]) =>
      path === '' || entry.optional === true || found[path]?.version === entry.version,
  );
}

process.exit(isInstalled() && statSync('node_modules').isDirectory() ? 0 : 1);
