/** Chooses the peers that carry exchanges for this instance. Performs no I/O. */
import type { Contact } from '../membership/membership-messages.js';
import { createBoundedMap } from '../utils/bounded-map.js';
import type { Random } from '../utils/random.js';

/** Time for which a peer that could not help is asked after all others. */
const UNHELPFUL_MS = 2000;
/** Time for which a peer whose release does not know the call is not asked. */
const UNSUPPORTED_MS = 60_000;
const REMEMBERED_MAX = 4096;

export interface PeerChooser {
  /**
   * Returns a peer to ask next; `asked` holds the names of those asked for this attempt.
   * `isElsewhere`: prefers other data centres, since a peer of the own one did not reach the endpoint.
   */
  choose(
    start: string,
    asked: ReadonlySet<string>,
    isElsewhere: boolean,
    /** Chooses among these alone. */
    names?: readonly string[],
  ): Contact | undefined;
  /** It does not reach the endpoint, or did not answer. */
  recordUnhelpful(peer: string, start: string): void;
  /** It does not answer, or has no room, whatever the endpoint. */
  recordUnavailable(peer: string): void;
  recordUnsupported(peer: string): void;
}

export interface PeerChooserOptions {
  readonly dataCentre: string;
  /** Live instances other than this one. */
  readonly listPeers: () => readonly Contact[];
  readonly random: Random;
  readonly getNow: () => number;
}

/** Order of the groups that peers are chosen from, the best first. */
const GROUP = {
  NearHelpful: 0,
  FarHelpful: 1,
  NearUnhelpful: 2,
  FarUnhelpful: 3,
} as const;
type Group = (typeof GROUP)[keyof typeof GROUP];

export function createPeerChooser(options: PeerChooserOptions): PeerChooser {
  const { random, getNow } = options;
  /** By peer, and by peer and endpoint: until when it is asked after the others, or not at all. */
  const unhelpfulUntil = createBoundedMap<string, number>(REMEMBERED_MAX);
  const excludedUntil = createBoundedMap<string, number>(REMEMBERED_MAX);

  const buildId = (peer: string, start: string): string => `${peer}|${start}`;
  const isExcluded = (id: string): boolean => (excludedUntil.get(id) ?? 0) > getNow();

  function resolveGroup({ name, dataCentre }: Contact, isElsewhere: boolean): Group {
    const isUnhelpful = (unhelpfulUntil.get(name) ?? 0) > getNow();
    if ((dataCentre === options.dataCentre) !== isElsewhere)
      return isUnhelpful ? GROUP.NearUnhelpful : GROUP.NearHelpful;
    return isUnhelpful ? GROUP.FarUnhelpful : GROUP.FarHelpful;
  }

  return {
    choose(start, asked, isElsewhere, names) {
      const peers = options
        .listPeers()
        .filter(
          ({ name }) =>
            (names?.includes(name) ?? true) &&
            !asked.has(name) &&
            !isExcluded(name) &&
            !isExcluded(buildId(name, start)),
        );
      const groups = peers.map((peer) => resolveGroup(peer, isElsewhere));
      const best = Math.min(...groups);
      const candidates = peers.filter((_, index) => groups[index] === best);
      return candidates[random.nextIndex(Math.max(1, candidates.length))];
    },
    recordUnhelpful(peer, start) {
      const untilMs = getNow() + UNHELPFUL_MS;
      unhelpfulUntil.set(peer, untilMs);
      excludedUntil.set(buildId(peer, start), untilMs);
    },
    recordUnavailable: (peer) => unhelpfulUntil.set(peer, getNow() + UNHELPFUL_MS),
    recordUnsupported: (peer) => excludedUntil.set(peer, getNow() + UNSUPPORTED_MS),
  };
}
