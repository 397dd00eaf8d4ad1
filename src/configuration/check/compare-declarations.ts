/** Compares two compiled configurations entry by entry and field by field. */
import type {
  ClassDeclaration,
  Declarations,
  EndpointDeclaration,
  OrganisationDeclaration,
  PoolDeclaration,
} from '../../types/declarations.js';
import { FINDING } from './findings.js';
import type { Difference, ListField, ScalarField } from './findings.js';

type Scalars = readonly (readonly [field: ScalarField, value: string | number])[];
type Lists = readonly (readonly [field: ListField, items: readonly string[]])[];

/** The fields of an entry, in the order in which their differences are listed. */
interface Fields {
  readonly scalars: Scalars;
  readonly lists: Lists;
}

/** Type of the rest of each destructuring: a new field of a declaration must be compared to compile. */
type Nothing = Readonly<Record<string, never>>;

function listClassFields(declaration: Omit<ClassDeclaration, 'name'>): Fields {
  const { tier, firstTokenMs, betweenTokensMs, deadlineMs, floor, ...rest } = declaration;
  rest satisfies Nothing;
  return {
    scalars: [
      ['tier', tier],
      ['firstTokenMs', firstTokenMs],
      ['betweenTokensMs', betweenTokensMs],
      ['deadlineMs', deadlineMs],
      ['floor', floor],
    ],
    lists: [],
  };
}

function listOrganisationFields(organisation: Omit<OrganisationDeclaration, 'name'>): Fields {
  const { keyHashes, classes, defaultClass, pools, limits, weight, ...rest } = organisation;
  const { concurrency, requestsPerSecond, ...restOfLimits } = limits;
  rest satisfies Nothing;
  restOfLimits satisfies Nothing;
  return {
    scalars: [
      ['defaultClass', defaultClass],
      ['weight', weight],
      ['limits.concurrency', concurrency],
      ['limits.requestsPerSecond', requestsPerSecond],
    ],
    lists: [
      ['keys', keyHashes],
      ['classes', classes],
      ['pools', pools],
    ],
  };
}

function listPoolFields(pool: Omit<PoolDeclaration, 'name'>): Fields {
  const { kind, models, fencing, endpoints, ...rest } = pool;
  rest satisfies Nothing;
  return {
    scalars: [
      ['kind', kind],
      ['fencing', fencing],
    ],
    lists: [
      ['models', models],
      ['endpoints', endpoints.map(({ name }) => name)],
    ],
  };
}

function listEndpointFields(endpoint: Omit<EndpointDeclaration, 'name' | 'pool'>): Fields {
  const { url, dataCentre, slots, ...rest } = endpoint;
  rest satisfies Nothing;
  return {
    scalars: [
      ['url', url],
      ['dataCentre', dataCentre],
      ['slots', slots],
    ],
    lists: [],
  };
}

function areEqual(left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((item, index) => item === right[index]);
}

function compareLists(
  entry: string,
  field: ListField,
  before: readonly string[],
  after: readonly string[],
): Difference[] {
  if (areEqual(before, after)) return [];
  const known = new Set(before);
  const kept = new Set(after);
  const added = [...kept].filter((item) => !known.has(item));
  const removed = [...known].filter((item) => !kept.has(item));
  const isReordered = !areEqual(
    before.filter((item) => kept.has(item)),
    after.filter((item) => known.has(item)),
  );
  return [{ kind: FINDING.ListChanged, entry, field, added, removed, isReordered }];
}

function compareFields(entry: string, before: Fields, after: Fields): Difference[] {
  const differences: Difference[] = [];
  after.scalars.forEach(([field, value], index) => {
    const previous = before.scalars[index]?.[1];
    if (previous !== undefined && previous !== value) {
      differences.push({ kind: FINDING.Changed, entry, field, before: previous, after: value });
    }
  });
  after.lists.forEach(([field, items], index) => {
    differences.push(...compareLists(entry, field, before.lists[index]?.[1] ?? [], items));
  });
  return differences;
}

/** Compares the entries of one section; entries that both versions share are skipped. */
function compareEntries<T>(
  section: string,
  before: ReadonlyMap<string, T>,
  after: ReadonlyMap<string, T>,
  listFields: (entry: T) => Fields,
): Difference[] {
  const differences: Difference[] = [];
  for (const [name, entry] of after) {
    const previous = before.get(name);
    const path = `${section}.${name}`;
    if (previous === undefined) differences.push({ kind: FINDING.Added, entry: path });
    else if (previous !== entry) {
      differences.push(...compareFields(path, listFields(previous), listFields(entry)));
    }
  }
  for (const name of before.keys()) {
    if (!after.has(name)) differences.push({ kind: FINDING.Removed, entry: `${section}.${name}` });
  }
  return differences;
}

function buildEndpoints(pool: PoolDeclaration): ReadonlyMap<string, EndpointDeclaration> {
  return new Map(pool.endpoints.map((endpoint) => [endpoint.name, endpoint]));
}

/** Lists the changes of endpoints that both versions have in the same pool. */
function compareEndpoints(before: Declarations, after: Declarations): Difference[] {
  const differences: Difference[] = [];
  for (const pool of after.pools.values()) {
    const previous = before.pools.get(pool.name);
    if (previous !== undefined) {
      differences.push(
        ...compareEntries(
          `pools.${pool.name}.endpoints`,
          buildEndpoints(previous),
          buildEndpoints(pool),
          listEndpointFields,
        ).filter(({ kind }) => kind === FINDING.Changed),
      );
    }
  }
  return differences;
}

/** Guards against a change that closes everything and looks like one removed entry. */
function listClosed(before: Declarations, after: Declarations): Difference[] {
  const isClosed = before.organisations.size > 0 && after.organisations.size === 0;
  return isClosed ? [{ kind: FINDING.AllClosed, entry: 'organisations' }] : [];
}

/** Lists what differs; the version numbers are not compared. */
export function compareDeclarations(before: Declarations, after: Declarations): Difference[] {
  return [
    ...listClosed(before, after),
    ...compareEntries('classes', before.classes, after.classes, listClassFields),
    ...compareEntries('pools', before.pools, after.pools, listPoolFields),
    ...compareEndpoints(before, after),
    ...compareEntries(
      'organisations',
      before.organisations,
      after.organisations,
      listOrganisationFields,
    ),
  ];
}
