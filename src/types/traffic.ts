/** The declared traffic of a deployment: routes, pools, organisations and what callers may send. */

/** How often a call may run, and what its answer looks like. */
export const CALL_KIND = {
  Idempotent: 'idempotent',
  /** At most once for each attempt of the caller. */
  NonIdempotent: 'non_idempotent',
  /** An event stream that may run once only. */
  Stream: 'stream',
  /** An event stream that another endpoint may continue after the last event delivered. */
  ResumableStream: 'resumable_stream',
} as const;
export type CallKind = (typeof CALL_KIND)[keyof typeof CALL_KIND];

/** A pool and its share of a route's calls, relative to the other weights. */
export interface WeightedPool {
  readonly pool: string;
  readonly weight: number;
}

/** Calls of one host below one path. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** The longest a call may be kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, in milliseconds. */
  readonly targetMs: number;
  /** The longest pause between events of a stream that is still in time, in milliseconds. */
  readonly gapTargetMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Endpoints one call may be sent to. */
  readonly attemptsMax: number;
  /** Whether calls need no key. */
  readonly isPublic: boolean;
  readonly pools: readonly WeightedPool[];
}

/** What a pool's model engines can hold. */
export interface EngineShape {
  /** Requests in one batch. */
  readonly slots: number;
  /** Tokens of running requests and cached prompts. */
  readonly cacheTokens: number;
}

/** What may be ordered of a pool's endpoints. */
export interface ScalingBounds {
  /** Data centres in which they may be; those where there are some, if none is named. */
  readonly dataCentres: readonly string[];
  /** Fewest and most in each data centre, of all kinds together. */
  readonly min: number;
  readonly max: number;
  /** From an order to the first call, in milliseconds. */
  readonly bootMs: number;
  /** Price of an endpoint that may be taken back, as a part of the others'; undefined where there are none. */
  readonly spotPrice: number | undefined;
}

/** A pool of equal endpoints. */
export interface TrafficPool {
  readonly name: string;
  /** Connections an endpoint accepts from all instances together. */
  readonly connectionsMax: number;
  /** Undefined for plain services. */
  readonly engine: EngineShape | undefined;
  /** Undefined where nobody orders endpoints. */
  readonly scaling: ScalingBounds | undefined;
}

/** An organisation that sends calls. */
export interface CallingOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
  /** Replaces the route's priority. */
  readonly priority: number | undefined;
}

/** What a caller may send. */
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
  readonly organisations: readonly CallingOrganisation[];
  readonly limits: CallerLimits;
}

/** One endpoint as it registered itself. */
export interface RegisteredEndpoint {
  /** The name the endpoint registers itself under; it may start again under the same one. */
  readonly id: string;
  /** Names one start of the endpoint. What is believed of an endpoint is kept by it and ends with it. */
  readonly startId: string;
  readonly pool: string;
  readonly address: string;
  readonly dataCentre: string;
  /** Calls it runs at once. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** It may be taken back at any time. */
  readonly isSpot: boolean;
}
