/** The declared traffic of a deployment. */

/** How often a call may run, and whether its response is a stream. */
export const CALL_KIND = {
  Idempotent: 'idempotent',
  /** Runs at most once for each request of the caller. */
  NonIdempotent: 'non_idempotent',
  /** An event stream that runs at most once. */
  Stream: 'stream',
  /** An event stream that another endpoint can resume after the last delivered event. */
  ResumableStream: 'resumable_stream',
} as const;
export type CallKind = (typeof CALL_KIND)[keyof typeof CALL_KIND];

/** A pool with its relative share of a route's calls. */
export interface WeightedPool {
  readonly pool: string;
  readonly weight: number;
}

/** Matches calls by host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Default and upper limit of the timeout that a caller may request. */
  readonly timeoutMs: number;
  /** Target time to the response, or to the first event of a stream. */
  readonly targetMs: number;
  /** Target time between two events of a stream. */
  readonly gapTargetMs: number | undefined;
  /** 0 is the highest. */
  readonly priority: number;
  /** Maximum number of endpoints that a call is sent to. */
  readonly attemptsMax: number;
  /** Whether calls are accepted without a key. */
  readonly isPublic: boolean;
  readonly pools: readonly WeightedPool[];
}

/** Capacity of a model engine. */
export interface EngineCapacity {
  /** Maximum number of requests in a batch. */
  readonly slots: number;
  /** Tokens that fit into the cache, for running requests and cached prompts. */
  readonly cacheTokens: number;
}

/** Limits for scaling a pool. */
export interface ScalingLimits {
  /** Data centres to scale in; if empty, those that already have endpoints of the pool. */
  readonly dataCentres: readonly string[];
  /** Minimum number of endpoints in each data centre, on-demand and spot together. */
  readonly min: number;
  /** Maximum number of endpoints in each data centre, on-demand and spot together. */
  readonly max: number;
  /** Time from the request for an endpoint to its first call. */
  readonly bootMs: number;
  /** Price of a spot endpoint as a fraction of the on-demand price; undefined if there are none. */
  readonly spotPrice: number | undefined;
}

/** A group of interchangeable endpoints. */
export interface TrafficPool {
  readonly name: string;
  /** Connections that an endpoint accepts from all instances together. */
  readonly connectionsMax: number;
  /** Undefined for plain services. */
  readonly engine: EngineCapacity | undefined;
  /** Undefined if the pool is not scaled by the router. */
  readonly scaling: ScalingLimits | undefined;
}

export interface CallingOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority. */
  readonly priority: number | undefined;
}

/** Limits on incoming calls. */
export interface CallerLimits {
  readonly headerBytesMax: number;
  readonly bodyBytesMax: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the declared traffic. */
export interface TrafficConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: readonly TrafficPool[];
  /**
   * Whether callers of routes that are not public need the key of an organisation. Not derived from
   * the organisations: with none left, nobody has a key.
   */
  readonly requiresKeys: boolean;
  readonly organisations: readonly CallingOrganisation[];
  readonly limits: CallerLimits;
}

export interface RegisteredEndpoint {
  /** The name that the endpoint registers with; it is kept across restarts. */
  readonly id: string;
  /** Identifies one start of the endpoint; state about the endpoint is discarded when it changes. */
  readonly startId: string;
  readonly pool: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Calls that the endpoint runs concurrently. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Whether the provider may reclaim the endpoint at any time. */
  readonly isSpot: boolean;
  /** Version of the endpoint's software; any text, compared for equality only. */
  readonly softwareVersion: string;
}
