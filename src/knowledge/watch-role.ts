/**
 * Decides whether this instance watches the source's feeds itself or follows its peers. Performs
 * no I/O.
 *
 * Each open feed costs billed calls, and peers receive changes within a few hundred milliseconds.
 * So only one instance per data centre watches, chosen by rendezvous hashing, and at least three in
 * the fleet. More instances join as a confirmation becomes overdue.
 */
import { chooseRendezvous } from '../utils/hash.js';
import { DEFAULT_WATCH_PACE } from './watch-pace.js';

/** Tolerates one watcher that is down and another that the source refuses. */
export const WATCHERS_MIN = 3;
/** Watchers that confirm the data for all instances; the others only wait for changes. */
export const LEADING_WATCHERS = 2;
/**
 * Time in which the number of watchers doubles while the data is stale: if the first to join succeed,
 * all instances know before the next ones join.
 */
const ESCALATION_PERIOD_MS = 400;
/** The same before the first data: longer, since a whole fleet may be starting. */
const INITIAL_ESCALATION_PERIOD_MS = 1000;
/**
 * Time for which a starting instance asks its peers before it calls the source. Running peers answer
 * within a tenth of it; those that start at the same moment need about a second.
 */
const STARTUP_GRACE_MS = 1500;
/**
 * Time for which an instance keeps watching after it was last needed, so that a recovering source
 * can settle. A starting instance with fresh data from peers follows them for the same time, since
 * it does not know the whole fleet yet.
 */
const ROLE_HOLD_MS = 5000;

export interface WatchCandidate {
  readonly name: string;
  readonly dataCentre: string;
}

export interface WatchRoleInput {
  readonly self: string;
  /** Reachable live instances, including this one. */
  readonly alive: readonly WatchCandidate[];
  /** Age of the local data; infinite before the first. */
  readonly knowledgeAgeMs: number;
  /** Whether this instance was started with addresses of others. */
  readonly hasContacts: boolean;
}

export type WatchRole =
  | {
      readonly kind: 'watch';
      /** Whether others discover the fleet through this instance's entry in the platform's list. */
      readonly isListed: boolean;
      /** Whether others rely on the confirmations of this instance. */
      readonly isLeading: boolean;
      /**
       * Multiplier of the delay after a failed call, so that a large fleet does not overload a
       * failing source.
       */
      readonly pauseFactor: number;
    }
  | { readonly kind: 'follow' };

export interface WatchRoleSelector {
  advance(input: WatchRoleInput, nowMs: number): WatchRole;
}

/** All instances by preference for watching: the first of each data centre, then the rest. */
function listByRank(alive: readonly WatchCandidate[]): string[] {
  const ranked = chooseRendezvous(
    'watch',
    alive.map(({ name }) => name),
    alive.length,
  );
  const dataCentreOf = new Map(alive.map(({ name, dataCentre }) => [name, dataCentre]));
  const seen = new Set<string | undefined>();
  const first = ranked.filter((name) => {
    const dataCentre = dataCentreOf.get(name);
    const isFirst = !seen.has(dataCentre);
    seen.add(dataCentre);
    return isFirst;
  });
  return [...first, ...ranked.filter((name) => !first.includes(name))];
}

/** The instances that watch in normal operation. */
export function listWatchers(alive: readonly WatchCandidate[]): string[] {
  const dataCentres = new Set(alive.map(({ dataCentre }) => dataCentre));
  return listByRank(alive).slice(0, Math.max(WATCHERS_MIN, dataCentres.size));
}

/**
 * Multiplier of the number of watchers, by the data's age or, if unknown, by how long it has been
 * unknown.
 */
function computeEscalationFactor(
  knowledgeAgeMs: number,
  unknownMs: number,
  staleAfterMs: number,
): number {
  const periods = Number.isFinite(knowledgeAgeMs)
    ? (knowledgeAgeMs - staleAfterMs) / ESCALATION_PERIOD_MS
    : (unknownMs - STARTUP_GRACE_MS) / INITIAL_ESCALATION_PERIOD_MS;
  return periods < 0 ? 1 : 2 ** (1 + Math.floor(periods));
}

export function createWatchRoleSelector(
  startedMs: number,
  { staleAfterMs } = DEFAULT_WATCH_PACE,
): WatchRoleSelector {
  let lastNeededMs = -Infinity;
  /** Start of the time without a known age: the process's start or a clock jump. */
  let unknownSinceMs = startedMs;

  return {
    advance({ self, alive, knowledgeAgeMs, hasContacts }, nowMs) {
      if (Number.isFinite(knowledgeAgeMs)) unknownSinceMs = nowMs;
      const uptimeMs = nowMs - startedMs;
      const isFresh = knowledgeAgeMs <= staleAfterMs;
      if (hasContacts && uptimeMs < (isFresh ? ROLE_HOLD_MS : STARTUP_GRACE_MS))
        return { kind: 'follow' };
      const watchers = Math.max(
        WATCHERS_MIN,
        new Set(alive.map((candidate) => candidate.dataCentre)).size,
      );
      const rank = Math.max(0, listByRank(alive).indexOf(self));
      const factor = computeEscalationFactor(knowledgeAgeMs, nowMs - unknownSinceMs, staleAfterMs);
      if (rank < watchers * factor) lastNeededMs = nowMs;
      if (nowMs - lastNeededMs >= ROLE_HOLD_MS) return { kind: 'follow' };
      return {
        kind: 'watch',
        isListed: rank < watchers,
        isLeading: rank < LEADING_WATCHERS * factor,
        pauseFactor: Math.max(1, rank / watchers),
      };
    },
  };
}
