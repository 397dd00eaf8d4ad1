/**
 * Crash evidence against one content: a set of crashes and a set of those cleared. Both only grow
 * when merged, so that instances can exchange them in any order.
 */
import type { ContentId } from '../calls/content-id.js';
import type { EndpointKey } from '../placement/remote-loads.js';

/** Hash of an organisation's name, which identifies it between instances. */
export type OrganisationKey = number;

/** A crash of an endpoint that was running the content. Times are on the local monotonic clock. */
export interface CrashRecord {
  /** The endpoint's start that crashed. */
  readonly start: EndpointKey;
  readonly sentMs: number;
  readonly crashedMs: number;
}

/**
 * A run of a content that may crash its endpoint, held as a lease that is renewed while the run
 * lasts.
 */
export interface Trial {
  readonly start: EndpointKey;
  readonly expiresMs: number;
}

export interface CrashCase {
  readonly content: ContentId;
  readonly organisation: OrganisationKey;
  readonly crashes: Map<EndpointKey, CrashRecord>;
  /** Crashes that no longer count, even if a peer reports them again. */
  readonly cleared: Set<EndpointKey>;
  trial: Trial | undefined;
  /** When the evidence last changed. */
  changedMs: number;
  /** When the evidence last changed or a call last looked up the case. */
  lastActiveMs: number;
}

export const STANDING = {
  Clear: 'clear',
  /** It was running on an endpoint that crashed, possibly beside other contents. */
  Suspect: 'suspect',
  /** The next crash decides: it runs alone on its endpoint, and only once in the fleet. */
  LastTrial: 'last trial',
  /** No longer sent to any endpoint. */
  Condemned: 'condemned',
} as const;
export type Standing = (typeof STANDING)[keyof typeof STANDING];

/** An innocent content is rarely involved in two crashes, and its third run is alone. */
const CRASHES_TO_CONDEMN = 3;
const CRASHES_FOR_LAST_TRIAL = CRASHES_TO_CONDEMN - 1;
/**
 * Successive crashes that condemn, each of a run that began after the previous crash. Guards
 * against condemning a popular request when several endpoints that run it lose power together.
 */
const ROUNDS_TO_CONDEMN = 2;

/** Counts successive crashes, each of a run that began after the previous one. */
function countRounds(crashes: Iterable<CrashRecord>): number {
  const ordered = [...crashes].sort((a, b) => a.crashedMs - b.crashedMs);
  let rounds = 0;
  let lastCrashMs = -Infinity;
  for (const { sentMs, crashedMs } of ordered) {
    if (sentMs >= lastCrashMs) {
      rounds += 1;
      lastCrashMs = crashedMs;
    }
  }
  return rounds;
}

/** `pendingChecks` counts interrupted answers that may yet prove to be crashes. */
export function computeStanding({ crashes }: CrashCase, pendingChecks = 0): Standing {
  const count = crashes.size + pendingChecks;
  if (count === 0) return STANDING.Clear;
  if (count < CRASHES_FOR_LAST_TRIAL) return STANDING.Suspect;
  if (count < CRASHES_TO_CONDEMN) return STANDING.LastTrial;
  const rounds = countRounds(crashes.values()) + pendingChecks;
  return rounds < ROUNDS_TO_CONDEMN ? STANDING.LastTrial : STANDING.Condemned;
}
