/** The declarations operators keep in version control, checked and merged. */

/** A class of requests: its priority, its latency targets and its guaranteed share. */
export interface ClassDeclaration {
  readonly name: string;
  /** Priority; 0 is served first. */
  readonly tier: number;
  /** Target for the first token, in milliseconds. */
  readonly firstTokenMs: number;
  /** Target between two tokens, in milliseconds. */
  readonly betweenTokensMs: number;
  /** A whole answer later than this many milliseconds is worth nothing. */
  readonly deadlineMs: number;
  /** Share of a shard's slots kept for the class while it has waiting work, 0 to 1. */
  readonly floor: number;
}

/** What one organisation may use at most, over the whole fleet. */
export interface OrganisationLimits {
  readonly concurrency: number;
  readonly requestsPerSecond: number;
}

/** An organisation that sends requests. */
export interface OrganisationDeclaration {
  readonly name: string;
  /** Hex SHA-256 of each accepted key; the keys themselves are never kept. */
  readonly keyHashes: readonly string[];
  readonly classes: readonly string[];
  readonly defaultClass: string;
  readonly pools: readonly string[];
  readonly limits: OrganisationLimits;
  /** Share within a class relative to other organisations. */
  readonly weight: number;
}

/** One back end. */
export interface EndpointDeclaration {
  readonly name: string;
  readonly pool: string;
  readonly url: string;
  readonly dataCentre: string;
  /** Requests the endpoint runs at once. */
  readonly slots: number;
}

/** Whether a pool's endpoints refuse an order with an old fencing number. */
export const FENCING = { Checked: 'checked', Ignored: 'ignored' } as const;
export type Fencing = (typeof FENCING)[keyof typeof FENCING];

/** What stands behind a pool. */
export const POOL_KIND = { Engine: 'engine', Service: 'service' } as const;
export type PoolKind = (typeof POOL_KIND)[keyof typeof POOL_KIND];

/** Endpoints that serve the same thing. */
export interface PoolDeclaration {
  readonly name: string;
  readonly kind: PoolKind;
  readonly models: readonly string[];
  readonly fencing: Fencing;
  readonly endpoints: readonly EndpointDeclaration[];
}

/** A whole configuration at one version. */
export interface Declarations {
  readonly version: number;
  readonly classes: ReadonlyMap<string, ClassDeclaration>;
  readonly organisations: ReadonlyMap<string, OrganisationDeclaration>;
  readonly pools: ReadonlyMap<string, PoolDeclaration>;
}
