/** The pace of one endpoint: how many calls of the whole fleet it may run at once, and why. */

export const PACE_STATE = {
  /** Registered beside others; no call has been sent there yet. */
  New: 'new',
  /** The first calls are under way. */
  Probing: 'probing',
  /** The limit doubles while answers come as they do from other endpoints. */
  Growing: 'growing',
  /** The limit was halved because of failures or slow answers. */
  FallingBack: 'falling_back',
  /** No limit. */
  Settled: 'settled',
} as const;
export type PaceState = (typeof PACE_STATE)[keyof typeof PACE_STATE];

/** Why an endpoint fell back. */
export const PACE_TROUBLE = {
  /** Calls failed or were refused. */
  Failing: 'failing',
  /** Prompts took longer to read than at other endpoints. */
  Slow: 'slow',
} as const;
export type PaceTrouble = (typeof PACE_TROUBLE)[keyof typeof PACE_TROUBLE];

/** What is kept of an endpoint with a limit. */
export interface PaceLimit {
  /** Running calls of all instances together. */
  readonly limit: number;
  /** Time of the last change of the limit. */
  readonly steppedMs: number;
  /** Time of the registration or of the last failure since. */
  readonly failedMs: number;
  /** Slowdown that does not depend on the load, so that it is the endpoint's own speed; 1 at first. */
  readonly ownSlowdown: number;
}

export interface NewPace extends PaceLimit {
  readonly kind: typeof PACE_STATE.New;
}

export interface ProbingPace extends PaceLimit {
  readonly kind: typeof PACE_STATE.Probing;
}

export interface GrowingPace extends PaceLimit {
  readonly kind: typeof PACE_STATE.Growing;
}

export interface FallingBackPace extends PaceLimit {
  readonly kind: typeof PACE_STATE.FallingBack;
  readonly trouble: PaceTrouble;
  /** Slowdown when the limit was halved. */
  readonly slowdownBefore: number;
}

export interface SettledPace {
  readonly kind: typeof PACE_STATE.Settled;
  readonly sinceMs: number;
}

export type LimitedPace = NewPace | ProbingPace | GrowingPace | FallingBackPace;
export type Pace = LimitedPace | SettledPace;

/** Share of the slots that a new endpoint starts with: three doublings reach all of them. */
const INITIAL_SLOT_SHARE = 1 / 8;
/**
 * Part of the load of the endpoints without a limit that the others are expected to take over. The
 * more endpoints of a pool are new, the less the others can do so.
 */
const UNSETTLED_LOAD_SHARE = 0.5;

/** Limit of a new endpoint; `unsettledShare` is the share of its pool that has a limit. */
export function computeInitialLimit(slots: number, unsettledShare: number): number {
  const share = Math.max(INITIAL_SLOT_SHARE, unsettledShare * UNSETTLED_LOAD_SHARE);
  return Math.max(1, Math.ceil(slots * share));
}
