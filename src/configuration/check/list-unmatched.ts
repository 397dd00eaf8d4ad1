/** Lists entries that no request can ever match, although the configuration compiles. */
import type { Declarations, PoolDeclaration } from '../../types/declarations.js';
import { POOL_KIND } from '../../types/declarations.js';
import { FINDING } from './findings.js';
import type { DeclarationPath, Fault, GetPlace } from './findings.js';

/** What the organisations of a configuration can use. */
interface Usage {
  readonly classes: ReadonlySet<string>;
  readonly pools: ReadonlySet<string>;
  /** By engine pool, the models for which at least one organisation is routed to it. */
  readonly modelsOfPool: ReadonlyMap<string, ReadonlySet<string>>;
}

/** An organisation's requests for a model go to the first engine pool of its list that has the model. */
function buildUsage({ organisations, pools }: Declarations): Usage {
  const classes = new Set<string>();
  const usedPools = new Set<string>();
  const modelsOfPool = new Map<string, Set<string>>();
  for (const organisation of organisations.values()) {
    organisation.classes.forEach((name) => classes.add(name));
    const models = new Set<string>();
    for (const name of organisation.pools) {
      usedPools.add(name);
      const pool = pools.get(name);
      if (pool?.kind === POOL_KIND.Engine) {
        const routed = modelsOfPool.get(name) ?? new Set();
        modelsOfPool.set(name, routed);
        pool.models.filter((model) => !models.has(model)).forEach((model) => routed.add(model));
        pool.models.forEach((model) => models.add(model));
      }
    }
  }
  return { classes, pools: usedPools, modelsOfPool };
}

function listRepeated(
  path: DeclarationPath,
  items: readonly string[],
  getPlace: GetPlace,
): Fault[] {
  const repeated = new Set(items.filter((item, index) => items.indexOf(item) !== index));
  return [...repeated].map((value) => ({
    kind: FINDING.RepeatedItem,
    place: getPlace(path),
    value,
  }));
}

function listOfModels(pool: PoolDeclaration, usage: Usage, getPlace: GetPlace): Fault[] {
  const { name, models } = pool;
  const path = ['pools', name, 'models'];
  if (pool.kind === POOL_KIND.Service) {
    if (models.length === 0) return [];
    return [{ kind: FINDING.ModelsOfService, place: getPlace(path), value: models }];
  }
  if (models.length === 0) {
    return [{ kind: FINDING.EngineWithoutModels, place: getPlace(path), value: name }];
  }
  if (!usage.pools.has(name)) return [];
  return [...new Set(models)]
    .filter((model) => usage.modelsOfPool.get(name)?.has(model) !== true)
    .map((value) => ({ kind: FINDING.ShadowedModel, place: getPlace(path), value }));
}

function listOfPool(pool: PoolDeclaration, usage: Usage, getPlace: GetPlace): Fault[] {
  const { name } = pool;
  const path = ['pools', name];
  const faults: Fault[] = [];
  if (!usage.pools.has(name)) {
    faults.push({ kind: FINDING.UnusedPool, place: getPlace(path), value: name });
  }
  if (pool.endpoints.length === 0) {
    const place = getPlace([...path, 'endpoints']);
    faults.push({ kind: FINDING.PoolWithoutEndpoints, place, value: name });
  }
  return [
    ...faults,
    ...listOfModels(pool, usage, getPlace),
    ...listRepeated([...path, 'models'], pool.models, getPlace),
  ];
}

export function listUnmatched(declarations: Declarations, getPlace: GetPlace): Fault[] {
  const usage = buildUsage(declarations);
  const faults: Fault[] = [];
  for (const name of declarations.classes.keys()) {
    if (!usage.classes.has(name)) {
      const place = getPlace(['classes', name]);
      faults.push({ kind: FINDING.UnusedClass, place, value: name });
    }
  }
  for (const pool of declarations.pools.values()) {
    faults.push(...listOfPool(pool, usage, getPlace));
  }
  for (const { name, classes, pools } of declarations.organisations.values()) {
    const path = ['organisations', name];
    faults.push(
      ...listRepeated([...path, 'classes'], classes, getPlace),
      ...listRepeated([...path, 'pools'], pools, getPlace),
    );
  }
  return faults;
}
