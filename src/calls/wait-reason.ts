/** Why a call waits at this instance. */
export const WAIT_REASON = {
  /** Its content or its organisation is under suspicion of crashing endpoints. */
  Quarantine: 'quarantine',
  /** The version that began its stream is being looked up. */
  StreamVersion: 'stream_version',
  /** The endpoints of the pool asked for rest. */
  EndpointRest: 'endpoint_rest',
  /** The endpoints of the pool name rate limits. */
  RateLimit: 'rate_limit',
  /** This instance's share of brittle endpoints is in use. */
  EndpointShare: 'endpoint_share',
  /** The engine that was chosen has no room for it. */
  EngineRoom: 'engine_room',
} as const;
export type WaitReason = (typeof WAIT_REASON)[keyof typeof WAIT_REASON];

/** The wait of a call at this instance. */
export interface CallWait {
  /** What it waited for last. */
  readonly reason: WaitReason;
  readonly sinceMs: number;
  /** When it is tried again at the earliest. */
  readonly nextTryMs: number;
}

/**
 * Shortest time between two tries of a call that waits for room, as a share of its target. Guards against less
 * urgent calls that wait in numbers and whose tries take the processor time that urgent ones need.
 */
const TRY_PERIOD_TARGET_SHARE = 0.05;
/** Bound of the same time: a free slot is taken by others meanwhile. */
const TRY_PERIOD_MAX_MS = 100;

/** Only calls that wait for room come in numbers; any other wait ends with one answer. */
export function computeNextTryMs(reason: WaitReason, targetMs: number, nowMs: number): number {
  if (reason !== WAIT_REASON.EngineRoom) return nowMs;
  return nowMs + Math.min(TRY_PERIOD_MAX_MS, targetMs * TRY_PERIOD_TARGET_SHARE);
}
