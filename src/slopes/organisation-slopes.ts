/** Measures how the cost of keys, limits, declarations and changes grows with organisations. */
import { stringify } from 'yaml';
import {
  buildCompiledFiles,
  checkConfiguration,
} from '../configuration/check/check-configuration.js';
import { createCompiler } from '../configuration/compile-files.js';
import { createOrganisationLimiter } from '../limits/organisation-limits.js';
import { createAuthenticator } from '../node/authenticator.js';
import type { Declarations, OrganisationDeclaration } from '../types/declarations.js';
import { hashText } from '../utils/hash.js';
import { buildSlope, computeMebibytes, computeMicroseconds } from './measure.js';
import type { Slope } from './measure.js';

const SIZES = [100, 1000, 10_000, 35_000] as const;
const PER_FILE = 70;
const TIMES = 2000;
const PEERS = { instances: 410, getDemand: () => 10 } as const;

function buildOrganisationName(index: number): string {
  return `organisation-${index}`;
}

function buildKey(index: number): string {
  return `key-${index}`;
}

const BASE = stringify({
  classes: {
    counter: { tier: 0, firstTokenMs: 1400, betweenTokensMs: 76, deadlineMs: 10_000, floor: 0.1 },
  },
  pools: { models: { kind: 'engine', models: ['assistant'], endpoints: {} } },
});

function buildFile(first: number, count: number, weight: number): string {
  const organisations: Record<string, object> = {};
  for (let index = first; index < first + count; index += 1) {
    organisations[buildOrganisationName(index)] = {
      keys: [`sha256:${hashText(buildKey(index))}`],
      classes: ['counter'],
      defaultClass: 'counter',
      pools: ['models'],
      weight,
    };
  }
  return stringify({ organisations });
}

function buildFolder(size: number): Map<string, string> {
  const files = new Map([['00-base.yaml', BASE]]);
  for (let first = 0; first < size; first += PER_FILE) {
    const name = `team-${String(first).padStart(6, '0')}.yaml`;
    files.set(name, buildFile(first, Math.min(PER_FILE, size - first), 1));
  }
  return files;
}

function buildDeclarations(files: Map<string, string>): Declarations {
  return createCompiler().build(files, 1).unwrap();
}

interface OrganisationCosts {
  readonly size: number;
  readonly authenticateUs: number;
  readonly limitUs: number;
  readonly applyMs: number;
  readonly checkS: number;
  readonly compareS: number;
  readonly memoryMib: number;
}

/** Milliseconds to apply a change of one file, including its keys. */
function computeApply(files: Map<string, string>): number {
  const compiler = createCompiler();
  const authenticator = createAuthenticator();
  compiler.build(files, 1).unwrap();
  let best = Infinity;
  for (let round = 0; round < 3; round += 1) {
    const changed = new Map(files);
    changed.set('team-000000.yaml', buildFile(0, PER_FILE, round + 2));
    const startedMs = performance.now();
    authenticator.set(compiler.build(changed, round + 2).unwrap());
    best = Math.min(best, performance.now() - startedMs);
  }
  return best;
}

/** Seconds to check a folder and compare it with another in which one file differs. */
function computeCompare(files: Map<string, string>): number {
  const startedMs = performance.now();
  const reference = buildCompiledFiles(files).unwrap();
  const changed = new Map(files);
  changed.set('team-000000.yaml', buildFile(0, PER_FILE, 2));
  checkConfiguration(changed, reference);
  return (performance.now() - startedMs) / 1000;
}

/** Seconds to check a folder. */
function computeCheck(files: Map<string, string>): number {
  const startedMs = performance.now();
  checkConfiguration(files, undefined);
  return (performance.now() - startedMs) / 1000;
}

function computeCosts(size: number): OrganisationCosts {
  const files = buildFolder(size);
  const declarations = buildDeclarations(files);
  const authenticator = createAuthenticator();
  authenticator.set(declarations);
  const limiter = createOrganisationLimiter();
  const list = [...declarations.organisations.values()];
  let nowMs = 0;
  return {
    size,
    authenticateUs: computeMicroseconds(TIMES, (index) => {
      authenticator.find(`Bearer ${buildKey((index * 7919) % size)}`);
    }),
    limitUs: computeMicroseconds(TIMES, (index) => {
      const organisation = list[(index * 7919) % size] as OrganisationDeclaration;
      nowMs += 0.1;
      limiter.take(organisation, PEERS, nowMs);
      limiter.release(organisation.name);
    }),
    applyMs: computeApply(files),
    checkS: computeCheck(files),
    compareS: computeCompare(files),
    memoryMib: computeMebibytes(() => {
      const compiler = createCompiler();
      const kept = compiler.build(files, 1).unwrap();
      const own = createAuthenticator();
      own.set(kept);
      return [compiler, kept, own];
    }),
  };
}

/** Measures what grows with organisations. */
export function buildOrganisationSlopes(): Slope[] {
  const costs = SIZES.map(computeCosts);
  const against = 'organisations';
  const fit = (role: string, cost: string, read: (costs: OrganisationCosts) => number): Slope =>
    buildSlope(
      role,
      cost,
      against,
      costs.map((entry) => ({ size: entry.size, value: read(entry) })),
    );
  return [
    fit('data path', 'µs to find a key’s organisation', (entry) => entry.authenticateUs),
    fit('admission', 'µs to check and count a limit', (entry) => entry.limitUs),
    fit('configuration', 'ms to apply a change of one file', (entry) => entry.applyMs),
    fit('configuration', 's to check a folder', (entry) => entry.checkS),
    fit('configuration', 's to check a folder against another', (entry) => entry.compareS),
    fit('configuration', 'MiB', (entry) => entry.memoryMib),
  ];
}
