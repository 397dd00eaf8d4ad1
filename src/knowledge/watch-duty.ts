/**
 * Decides whether this instance follows the source's feeds itself or a peer that does, free of I/O.
 *
 * The load it answers: every open feed costs the source calls whether anything changes or not, so
 * that a fleet in which all instances watch takes ten times the calls of one in which a few do.
 * A few instances of each data centre watch, chosen by rendezvous hashing among those alive there;
 * the others ask them. Whoever has no recent knowledge watches, whatever the others do.
 */
import { chooseRendezvous } from '../utils/hash.js';

/** Instances that watch in each data centre: one may be down, another out of the source's reach. */
export const WATCHERS_PER_DATA_CENTRE = 3;
/** An instance that need not watch goes on for this long, in milliseconds, counted from when it last had to: a fleet that starts or a source that comes back takes a few seconds to settle. */
const SETTLING_MS = 5000;

/** What the duty depends on. */
export interface WatchDutyInput {
  readonly self: string;
  /** Instances of the own data centre that are alive, this one included. */
  readonly alive: readonly string[];
  /** Whether the own knowledge is so old that peers cannot be relied on. */
  readonly isKnowledgeOld: boolean;
}

/** Whether to watch, and whom to ask otherwise. */
export type WatchDuty =
  | { readonly kind: 'watch' }
  /** `watchers`: the instances to ask, in turn. */
  | { readonly kind: 'follow'; readonly watchers: readonly string[] };

/** The duty of one instance. */
export interface WatchDutyKeeper {
  advance(input: WatchDutyInput, nowMs: number): WatchDuty;
}

/** Builds the duty of an instance that starts: it watches. */
export function createWatchDuty(): WatchDutyKeeper {
  let neededMs: number | undefined;

  return {
    advance({ self, alive, isKnowledgeOld }, nowMs) {
      const watchers = chooseRendezvous('watch', alive, WATCHERS_PER_DATA_CENTRE);
      const isNeeded = isKnowledgeOld || watchers.includes(self) || watchers.length === 0;
      if (isNeeded || neededMs === undefined) neededMs = nowMs;
      if (nowMs - neededMs < SETTLING_MS) return { kind: 'watch' };
      return { kind: 'follow', watchers };
    },
  };
}
