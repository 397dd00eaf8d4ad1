/**
 * Decides whether this instance follows the source's feeds itself or lives on what peers tell, free
 * of I/O.
 *
 * The load it answers: every open feed costs the source calls whether anything changes or not, and all
 * of them are paid for. What one instance learns is with
 * all others in a few hundred milliseconds anyway, by the tellings of load. So one instance of each data centre watches, by rendezvous hashing,
 * three of the whole fleet at least; the more overdue a confirmation, the more others join them.
 */
import { chooseRendezvous } from '../utils/hash.js';

/** Instances that watch at least: one may be down, another turned away by the source. */
export const WATCHERS_MIN = 3;
/** Watchers that keep everybody's knowledge confirmed; the others only wait for changes. */
export const LEADING_WATCHERS = 2;
/** Knowledge older than this, in milliseconds, is overdue: a leading watcher confirms it every 1.5 s, tellings take 0.3 s, and a call of the source may take 0.4 s. */
const STALE_AFTER_MS = 2400;
/** The number of watchers doubles each time so much more has passed, in milliseconds: where the first of those that join succeed, everybody knows before the next do, and all of 195 watch 2 s later. */
const ESCALATION_PERIOD_MS = 400;
/** The same before the first knowledge: a whole fleet that starts is busy with starting. */
const INITIAL_ESCALATION_PERIOD_MS = 1000;
/** An instance that starts asks others for this long, in milliseconds, before it asks the source: those that run answer in a tenth of that, those that start at the same moment need a second to be there. */
const STARTUP_GRACE_MS = 1500;
/**
 * An instance that need not watch goes on for this long, in milliseconds, counted from when it last had
 * to: a source that comes back takes a few seconds to settle. One that starts does not take up watching
 * for as long while others tell it enough: it does not know the fleet yet, and would be first of few.
 */
const ROLE_HOLD_MS = 5000;

/** An instance that may watch. */
export interface WatchCandidate {
  readonly name: string;
  readonly dataCentre: string;
}

/** What the duty depends on. */
export interface WatchDutyInput {
  readonly self: string;
  /** Instances that are alive and within reach, this one included. */
  readonly alive: readonly WatchCandidate[];
  /** Age of the own knowledge in milliseconds; infinite before the first. */
  readonly knowledgeAgeMs: number;
  /** Whether this instance started with addresses of others, who know more than it does or are the first to watch. */
  readonly hasContacts: boolean;
}

/** Whether to watch. */
export type WatchDuty =
  | {
      readonly kind: 'watch';
      /** Whether others find the fleet by this instance's entry in the platform's list. */
      readonly isListed: boolean;
      /** Whether others rely on the confirmations of this instance. */
      readonly isLeading: boolean;
      /** How many times longer than a watcher this instance waits after a failed call: the source must not be drowned by all of a fleet while it is down. */
      readonly pauseFactor: number;
    }
  | { readonly kind: 'follow' };

/** The duty of one instance. */
export interface WatchDutyKeeper {
  advance(input: WatchDutyInput, nowMs: number): WatchDuty;
}

/** Everybody in the order in which they are to watch: the first of each data centre, then the rest. */
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

/** The instances that watch where nothing is wrong. */
export function listWatchers(alive: readonly WatchCandidate[]): string[] {
  const dataCentres = new Set(alive.map(({ dataCentre }) => dataCentre));
  return listByRank(alive).slice(0, Math.max(WATCHERS_MIN, dataCentres.size));
}

/** How many times the usual number of instances watch, by the age of knowledge, or by how long an instance has been without any. */
function computeEscalationFactor(knowledgeAgeMs: number, unknownMs: number): number {
  const periods = Number.isFinite(knowledgeAgeMs)
    ? (knowledgeAgeMs - STALE_AFTER_MS) / ESCALATION_PERIOD_MS
    : (unknownMs - STARTUP_GRACE_MS) / INITIAL_ESCALATION_PERIOD_MS;
  return periods < 0 ? 1 : 2 ** (1 + Math.floor(periods));
}

/** Builds the duty of an instance that starts. */
export function createWatchDuty(startedMs: number): WatchDutyKeeper {
  let lastNeededMs = -Infinity;
  /** Since when no age of the knowledge is known: since the start, or since the clocks parted. */
  let unknownSinceMs = startedMs;

  return {
    advance({ self, alive, knowledgeAgeMs, hasContacts }, nowMs) {
      if (Number.isFinite(knowledgeAgeMs)) unknownSinceMs = nowMs;
      const uptimeMs = nowMs - startedMs;
      const isFresh = knowledgeAgeMs <= STALE_AFTER_MS;
      if (hasContacts && uptimeMs < (isFresh ? ROLE_HOLD_MS : STARTUP_GRACE_MS))
        return { kind: 'follow' };
      const watchers = Math.max(
        WATCHERS_MIN,
        new Set(alive.map((candidate) => candidate.dataCentre)).size,
      );
      const rank = Math.max(0, listByRank(alive).indexOf(self));
      const factor = computeEscalationFactor(knowledgeAgeMs, nowMs - unknownSinceMs);
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
