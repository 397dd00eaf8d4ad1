/** Findings of the configuration check. */

/** Where a finding applies. */
export interface Place {
  readonly file: string;
  /** 1-based. */
  readonly line: number;
  /** Section and name, as in `organisations.depots`; empty if the finding concerns the whole file. */
  readonly entry: string;
  /** Field of the entry, as in `limits.concurrency`; empty if the finding concerns the whole entry. */
  readonly field: string;
}

/** Section, entry and field, as declared. */
export type DeclarationPath = readonly string[];

/** Section and entry of a path. */
export function formatEntry(path: DeclarationPath): string {
  return path.slice(0, 2).join('.');
}

export function buildPlace(file: string, line: number, path: DeclarationPath): Place {
  return { file, line, entry: formatEntry(path), field: path.slice(2).join('.') };
}

/** Finds the file and line of a path. */
export type GetPlace = (path: DeclarationPath) => Place;

export const FINDING = {
  /** The configuration does not compile. */
  Invalid: 'invalid',
  /** No organisation may use the class. */
  UnusedClass: 'unused_class',
  /** No organisation may use the pool. */
  UnusedPool: 'unused_pool',
  PoolWithoutEndpoints: 'pool_without_endpoints',
  /** Requests name a model, so none ever reaches the pool. */
  EngineWithoutModels: 'engine_without_models',
  /** Only engines load models. */
  ModelsOfService: 'models_of_service',
  /** For each organisation of the pool, a pool that it lists earlier has the model. */
  ShadowedModel: 'shadowed_model',
  RepeatedItem: 'repeated_item',
  TargetOverDeadline: 'target_over_deadline',
  /** The rate is too low for the limiter to ever admit a request. */
  RateNeverAdmits: 'rate_never_admits',
  /** The rate is under one request in the deadline of a class. */
  RateUnderDeadline: 'rate_under_deadline',
  Added: 'added',
  Removed: 'removed',
  Changed: 'changed',
  ListChanged: 'list_changed',
  /** The last organisation is removed, so that every request is refused. */
  AllClosed: 'all_closed',
} as const;

/** Fields with a single value. */
export type ScalarField =
  | 'tier'
  | 'firstTokenMs'
  | 'betweenTokensMs'
  | 'deadlineMs'
  | 'floor'
  | 'defaultClass'
  | 'weight'
  | 'limits.concurrency'
  | 'limits.requestsPerSecond'
  | 'kind'
  | 'fencing'
  | 'url'
  | 'dataCentre'
  | 'slots';

/** Fields with a list of values. */
export type ListField = 'keys' | 'classes' | 'pools' | 'models' | 'endpoints';

/** What is wrong with a configuration. */
export type Fault =
  | {
      readonly kind: typeof FINDING.Invalid;
      readonly place: Place;
      readonly value: string | undefined;
      readonly problem: string;
      readonly remedy: string;
    }
  | {
      readonly kind:
        | typeof FINDING.UnusedClass
        | typeof FINDING.UnusedPool
        | typeof FINDING.PoolWithoutEndpoints
        | typeof FINDING.EngineWithoutModels;
      readonly place: Place;
      /** Name of the class or pool. */
      readonly value: string;
    }
  | {
      readonly kind: typeof FINDING.ModelsOfService;
      readonly place: Place;
      readonly value: readonly string[];
    }
  | {
      readonly kind: typeof FINDING.ShadowedModel | typeof FINDING.RepeatedItem;
      readonly place: Place;
      /** The model or item. */
      readonly value: string;
    }
  | {
      readonly kind: typeof FINDING.TargetOverDeadline;
      readonly place: Place;
      readonly value: number;
      readonly deadlineMs: number;
    }
  | {
      readonly kind: typeof FINDING.RateNeverAdmits;
      readonly place: Place;
      /** Requests per second. */
      readonly value: number;
      readonly minimum: number;
    }
  | {
      readonly kind: typeof FINDING.RateUnderDeadline;
      readonly place: Place;
      /** Requests per second. */
      readonly value: number;
      readonly className: string;
      readonly deadlineMs: number;
    };

/** What differs from another configuration. */
export type Difference =
  | { readonly kind: typeof FINDING.AllClosed; readonly entry: string }
  | {
      readonly kind: typeof FINDING.Added | typeof FINDING.Removed;
      readonly entry: string;
    }
  | {
      readonly kind: typeof FINDING.Changed;
      readonly entry: string;
      readonly field: ScalarField;
      readonly before: string | number;
      readonly after: string | number;
    }
  | {
      readonly kind: typeof FINDING.ListChanged;
      readonly entry: string;
      readonly field: ListField;
      readonly added: readonly string[];
      readonly removed: readonly string[];
      /** Whether the items that are kept stand in another order or number. */
      readonly isReordered: boolean;
    };

export type Finding = Fault | Difference;

/** Whether a finding is wrong by itself; a difference is not. */
export function isFault(finding: Finding): finding is Fault {
  return 'place' in finding;
}
