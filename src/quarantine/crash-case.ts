/**
 * What speaks against one content: crashes of endpoints where it ran. Held as a set that only grows, of
 * crashes and of those that were cleared, so that instances can merge what they know in any order.
 */
import type { ContentId } from '../calls/content-id.js';
import type { EndpointKey } from '../placement/told-loads.js';

/** Names an organisation among instances: a hash of its name. */
export type OrganisationKey = number;

/** A crash of an endpoint under which the content ran. Moments are of the own monotonic clock. */
export interface Strike {
  /** The start of the endpoint that crashed. */
  readonly start: EndpointKey;
  /** When the content was sent there. */
  readonly sentMs: number;
  readonly crashedMs: number;
}

/** A content that is being run to find out about it: a lease, renewed while the run lasts. */
export interface Trial {
  readonly start: EndpointKey;
  readonly untilMs: number;
}

/** What is known of one content. */
export interface CrashCase {
  readonly content: ContentId;
  readonly organisation: OrganisationKey;
  readonly strikes: Map<EndpointKey, Strike>;
  /** Crashes that no longer count, whoever tells of them. */
  readonly cleared: Set<EndpointKey>;
  trial: Trial | undefined;
  /** When its evidence last changed. */
  changedMs: number;
  /** When it last mattered: its evidence changed, or somebody asked for it. */
  seenMs: number;
}

/** How a content stands. */
export const STANDING = {
  Clear: 'clear',
  /** It ran at an endpoint that crashed, as others did. */
  Suspect: 'suspect',
  /** One more crash decides: it runs alone, once in the fleet. */
  LastTrial: 'last trial',
  /** It is not sent any more. */
  Condemned: 'condemned',
} as const;
export type Standing = (typeof STANDING)[keyof typeof STANDING];

/** Crashes that condemn: a neighbour of somebody else's crash is seldom at a second one, and its third run is alone. */
const STRIKES_CONDEMN = 3;
const STRIKES_LAST_TRIAL = STRIKES_CONDEMN - 1;
/**
 * Runs one after the other that condemn, each sent after the crash before.
 *
 * Guards against condemning a popular request when several endpoints lose power together, which shows as
 * its copies refused for good: all its crashes are of one moment then, and one more run decides.
 */
const ROUNDS_CONDEMN = 2;

/** How many of the crashes came one after the other. */
function countRounds(strikes: Iterable<Strike>): number {
  const ordered = [...strikes].sort((a, b) => a.crashedMs - b.crashedMs);
  let rounds = 0;
  let lastMs = -Infinity;
  for (const { sentMs, crashedMs } of ordered) {
    if (sentMs >= lastMs) {
      rounds += 1;
      lastMs = crashedMs;
    }
  }
  return rounds;
}

/** Judges a content by its crashes; `doubts` are answers that broke off a moment ago and may turn out as more of them. */
export function computeStanding({ strikes }: CrashCase, doubts = 0): Standing {
  const count = strikes.size + doubts;
  if (count === 0) return STANDING.Clear;
  if (count < STRIKES_LAST_TRIAL) return STANDING.Suspect;
  if (count < STRIKES_CONDEMN) return STANDING.LastTrial;
  const rounds = countRounds(strikes.values()) + doubts;
  return rounds < ROUNDS_CONDEMN ? STANDING.LastTrial : STANDING.Condemned;
}
