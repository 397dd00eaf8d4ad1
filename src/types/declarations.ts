/** Validated and merged declarations. */

/** Priority, latency targets and guaranteed capacity of a class of requests. */
export interface ClassDeclaration {
  readonly name: string;
  /** Priority; 0 is the highest. */
  readonly tier: number;
  /** Target time to first token. */
  readonly firstTokenMs: number;
  /** Target time between tokens. */
  readonly betweenTokensMs: number;
  /** Time limit for the complete response. */
  readonly deadlineMs: number;
  /** Share of a shard's slots reserved for the class while it has waiting requests, 0 to 1. */
  readonly floor: number;
}

/** Limits of an organisation across all instances. */
export interface OrganisationLimits {
  readonly concurrency: number;
  readonly requestsPerSecond: number;
}

export interface OrganisationDeclaration {
  readonly name: string;
  /** Hex SHA-256 hashes of the accepted keys; the keys themselves are not stored. */
  readonly keyHashes: readonly string[];
  readonly classes: readonly string[];
  readonly defaultClass: string;
  readonly pools: readonly string[];
  readonly limits: OrganisationLimits;
  /** Relative share of the organisation within a class. */
  readonly weight: number;
}

export interface EndpointDeclaration {
  readonly name: string;
  readonly pool: string;
  readonly url: string;
  readonly dataCentre: string;
  /** Requests that the endpoint runs concurrently. */
  readonly slots: number;
}

/** Whether a pool's endpoints refuse orders with an outdated fencing token. */
export const FENCING = { Checked: 'checked', Ignored: 'ignored' } as const;
export type Fencing = (typeof FENCING)[keyof typeof FENCING];

/** Type of the endpoints in a pool. */
export const POOL_KIND = { Engine: 'engine', Service: 'service' } as const;
export type PoolKind = (typeof POOL_KIND)[keyof typeof POOL_KIND];

/** A group of interchangeable endpoints. */
export interface PoolDeclaration {
  readonly name: string;
  readonly kind: PoolKind;
  readonly models: readonly string[];
  readonly fencing: Fencing;
  readonly endpoints: readonly EndpointDeclaration[];
}

/** One version of the complete configuration. */
export interface Declarations {
  readonly version: number;
  readonly classes: ReadonlyMap<string, ClassDeclaration>;
  readonly organisations: ReadonlyMap<string, OrganisationDeclaration>;
  readonly pools: ReadonlyMap<string, PoolDeclaration>;
}
