/** Merges declaration files and checks the result for duplicates and dangling references. */
import type {
  ClassDeclaration,
  Declarations,
  OrganisationDeclaration,
  PoolDeclaration,
} from '../types/declarations.js';
import { Err, Ok } from '../utils/result.js';
import type { Result } from '../utils/result.js';
import { createDeclarationError } from './declaration-error.js';
import type { DeclarationError } from './declaration-error.js';
import { SECTIONS } from './parse-file.js';
import type { ParsedFile, Section } from './parse-file.js';

/** Highest sum of all class floors; the rest of a shard is not reserved for any class. */
export const FLOOR_SUM_MAX = 0.5;

const KEY_PREFIX = 'sha256:';

type Location = readonly [file: ParsedFile, path: readonly string[]];

function createError([file, path]: Location, problem: string, remedy: string): DeclarationError {
  const { name, content } = file;
  return createDeclarationError({
    file: name,
    line: file.getLine(path),
    path,
    content,
    problem,
    remedy,
  });
}

function checkDuplicates(files: readonly ParsedFile[], section: Section): DeclarationError[] {
  const owners = new Map<string, ParsedFile>();
  const errors: DeclarationError[] = [];
  for (const file of files) {
    for (const name of Object.keys(file.content[section])) {
      const owner = owners.get(name);
      if (owner === undefined) {
        owners.set(name, file);
      } else {
        const problem = `${section}.${name} is already declared in ${owner.name}`;
        errors.push(createError([file, [section, name]], problem, 'keep one of the two'));
      }
    }
  }
  return errors;
}

function checkOrganisations(
  file: ParsedFile,
  classes: ReadonlyMap<string, ClassDeclaration>,
  pools: ReadonlyMap<string, PoolDeclaration>,
): DeclarationError[] {
  const errors: DeclarationError[] = [];
  for (const [name, organisation] of Object.entries(file.content.organisations)) {
    const base = ['organisations', name] as const;
    for (const className of organisation.classes) {
      if (!classes.has(className)) {
        const problem = `class ${className} is not declared`;
        errors.push(
          createError(
            [file, [...base, 'classes']],
            problem,
            `declare it or remove it from ${name}`,
          ),
        );
      }
    }
    if (!organisation.classes.includes(organisation.defaultClass)) {
      const problem = `defaultClass ${organisation.defaultClass} is not among the classes of ${name}`;
      errors.push(createError([file, [...base, 'defaultClass']], problem, 'add it there'));
    }
    for (const pool of organisation.pools) {
      if (!pools.has(pool)) {
        const problem = `pool ${pool} is not declared`;
        errors.push(
          createError([file, [...base, 'pools']], problem, `declare it or remove it from ${name}`),
        );
      }
    }
  }
  return errors;
}

function checkKeys(files: readonly ParsedFile[]): DeclarationError[] {
  const owners = new Map<string, string>();
  const errors: DeclarationError[] = [];
  for (const file of files) {
    for (const [name, organisation] of Object.entries(file.content.organisations)) {
      for (const key of organisation.keys) {
        const owner = owners.get(key);
        owners.set(key, name);
        if (owner !== undefined) {
          const problem = `a key of ${name} is already declared for ${owner}`;
          errors.push(
            createError(
              [file, ['organisations', name, 'keys']],
              problem,
              'create a new one with hyssoptally-ctl key',
            ),
          );
        }
      }
    }
  }
  return errors;
}

function checkEndpoints(files: readonly ParsedFile[]): DeclarationError[] {
  const owners = new Map<string, string>();
  const errors: DeclarationError[] = [];
  for (const file of files) {
    for (const [poolName, pool] of Object.entries(file.content.pools)) {
      for (const name of Object.keys(pool.endpoints)) {
        const owner = owners.get(name);
        owners.set(name, poolName);
        if (owner !== undefined) {
          const problem = `endpoint ${name} is also in pool ${owner}`;
          errors.push(
            createError(
              [file, ['pools', poolName, 'endpoints', name]],
              problem,
              'give each endpoint its own name',
            ),
          );
        }
      }
    }
  }
  return errors;
}

function checkFloors(files: readonly ParsedFile[]): DeclarationError[] {
  let sum = 0;
  for (const file of files) {
    for (const [name, declaration] of Object.entries(file.content.classes)) {
      sum += declaration.floor;
      if (sum > FLOOR_SUM_MAX) {
        const problem = `class floors add up to ${sum.toFixed(2)}, more than ${FLOOR_SUM_MAX}`;
        return [createError([file, ['classes', name, 'floor']], problem, 'lower some of them')];
      }
    }
  }
  return [];
}

function buildClasses(files: readonly ParsedFile[]): Map<string, ClassDeclaration> {
  const classes = new Map<string, ClassDeclaration>();
  for (const file of files) {
    for (const [name, declaration] of Object.entries(file.content.classes)) {
      classes.set(name, { name, ...declaration });
    }
  }
  return classes;
}

function buildPools(files: readonly ParsedFile[]): Map<string, PoolDeclaration> {
  const pools = new Map<string, PoolDeclaration>();
  for (const file of files) {
    for (const [name, declaration] of Object.entries(file.content.pools)) {
      const endpoints = Object.entries(declaration.endpoints).map(([endpoint, settings]) => ({
        name: endpoint,
        pool: name,
        ...settings,
      }));
      pools.set(name, { name, ...declaration, endpoints });
    }
  }
  return pools;
}

/** Caches organisations by parsed file, so that versions share those of unchanged files. */
const organisationsOfFile = new WeakMap<ParsedFile, readonly OrganisationDeclaration[]>();

function listOrganisations(file: ParsedFile): readonly OrganisationDeclaration[] {
  const cached = organisationsOfFile.get(file);
  if (cached !== undefined) return cached;
  const fileOrganisations = Object.entries(file.content.organisations).map(
    ([name, { keys, ...rest }]) => ({
      name,
      keyHashes: keys.map((key) => key.slice(KEY_PREFIX.length)),
      ...rest,
    }),
  );
  organisationsOfFile.set(file, fileOrganisations);
  return fileOrganisations;
}

function buildOrganisations(files: readonly ParsedFile[]): Map<string, OrganisationDeclaration> {
  const organisations = new Map<string, OrganisationDeclaration>();
  for (const file of files) {
    for (const organisation of listOrganisations(file)) {
      organisations.set(organisation.name, organisation);
    }
  }
  return organisations;
}

/** Merges files in the order of their names, so that the result does not depend on the input order. */
export function mergeFiles(
  files: readonly ParsedFile[],
  version: number,
): Result<Declarations, readonly DeclarationError[]> {
  const ordered = [...files].sort((a, b) => (a.name < b.name ? -1 : 1));
  const classes = buildClasses(ordered);
  const pools = buildPools(ordered);
  const errors = [
    ...SECTIONS.flatMap((section) => checkDuplicates(ordered, section)),
    ...ordered.flatMap((file) => checkOrganisations(file, classes, pools)),
    ...checkKeys(ordered),
    ...checkEndpoints(ordered),
    ...checkFloors(ordered),
  ];
  if (errors.length > 0) return Err(errors);
  return Ok({ version, classes, organisations: buildOrganisations(ordered), pools });
}
