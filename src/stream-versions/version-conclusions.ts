/**
 * Concludes that a pool can only have had one software version: by what this instance remembers of the
 * registry and by a look at it that was sent after the question. Performs no I/O.
 */
import type { RegisteredEndpoint } from '../types/traffic.js';
import { hashName } from '../utils/hash.js';
import type { OwnConclusion } from './binding-queries.js';
import { createPoolVersions } from './pool-versions.js';
import { LOOK_LATE_MS, createRegistryLooks, isPoolChanged } from './registry-looks.js';
import type { LookTicket, RegistryLook } from './registry-looks.js';
import type { PoolKey, VersionKey } from './stream-binding.js';
import type { EndpointChanges, VersionClaim } from './stream-row.js';
import type { HeldClaim } from './stored-streams.js';
import { listUnchanged } from './version-claim.js';

export interface VersionConclusionsOptions {
  readonly getNow: () => number;
  /** Time before the question that a conclusion must cover. */
  readonly getCoveredMs: () => number;
  /** Revision of the registry up to which all changes are known; 0 before its first list. */
  readonly getRegistryRevision: () => number;
  /** Whether all changes of the registry since its first list are known. */
  readonly isViewContinuous: () => boolean;
  readonly listRegistered: () => readonly RegisteredEndpoint[];
  readonly countInstances: () => number;
  /** Reads the changes of the registry after a revision; hands on undefined if that fails. */
  readonly startLook: (
    revision: number,
    onEnded: (changes: EndpointChanges | undefined) => void,
  ) => void;
  readonly onLookEnded: () => void;
}

/** A question that is being answered. */
export interface Inquiry {
  readonly pool: PoolKey;
  /** What happens later does not matter. */
  readonly askedMs: number;
  /** Names the looks that count; undefined until one was asked for. */
  ticket?: LookTicket | undefined;
}

export interface VersionConclusions {
  /** Records the registry as it is known now; `isGap`: a version may have come and gone unseen. */
  record(isGap: boolean): void;
  recordClaim(claim: HeldClaim): void;
  /** Returns the only version by memory alone, which may be out of step with the registry. */
  findRemembered(pool: PoolKey): VersionKey | undefined;
  /** Concludes for all that happened until the question; asks for a look if one is needed. */
  resolve(inquiry: Inquiry): OwnConclusion;
  /** Whether looks fail at present. */
  isFailing(): boolean;
  advance(): void;
}

interface KnownRegistry {
  readonly endpoints: readonly RegisteredEndpoint[];
  /** All changes up to this revision are included. */
  readonly revision: number;
}

/** Longest wait for the memory to have the changes that a look has seen. */
const CATCH_UP_MAX_MS = 700;
const NONE: OwnConclusion = { kind: 'none' };

export function createVersionConclusions(options: VersionConclusionsOptions): VersionConclusions {
  const { getNow } = options;
  const poolVersions = createPoolVersions();
  /** The registry at the last record. */
  let known: KnownRegistry = { endpoints: [], revision: 0 };
  const looks = createRegistryLooks({
    getNow,
    countInstances: options.countInstances,
    getRevision: options.getRegistryRevision,
    listRegistered: options.listRegistered,
    startRead: options.startLook,
    onEnded: options.onLookEnded,
  });

  function findRemembered(pool: PoolKey, beforeMs = getNow()): VersionKey | undefined {
    const nowMs = getNow();
    return poolVersions.findOnly(pool, options.getCoveredMs() + nowMs - beforeMs, nowMs);
  }

  function recordNow(isContinuous: boolean): void {
    known = { endpoints: options.listRegistered(), revision: options.getRegistryRevision() };
    poolVersions.record(known.endpoints, isContinuous, getNow());
  }

  function recordClaim({ pools, sinceMs, checkedMs }: HeldClaim): void {
    for (const binding of pools) poolVersions.recordEarlier(binding, sinceMs, checkedMs);
  }

  /** What was known before a gap, as a claim of this instance's own. */
  function buildOwnClaim({ endpoints, revision }: KnownRegistry): VersionClaim {
    const pools = [...new Set(endpoints.map(({ pool }) => hashName(pool)))];
    return {
      revision,
      pools: pools.flatMap((pool) => {
        const version = findRemembered(pool);
        return version === undefined ? [] : [{ pool, version }];
      }),
      endpoints: endpoints.map(({ id }) => hashName(id)),
    };
  }

  /** Guards against a new watcher's list, after which all others would forget what they have seen. */
  function startBridging(claim: VersionClaim, sinceMs: number): void {
    if (claim.pools.length === 0) return;
    const listedRevision = options.getRegistryRevision();
    options.startLook(claim.revision, (changes) => {
      if (changes === undefined || changes.revision < listedRevision) return;
      recordClaim({ pools: listUnchanged(claim, changes), sinceMs, checkedMs: changes.sentMs });
    });
  }

  function recordGap(): void {
    const sinceMs = getNow() - options.getCoveredMs();
    const claim = buildOwnClaim(known);
    recordNow(false);
    recordNow(options.isViewContinuous());
    startBridging(claim, sinceMs);
  }

  /** Whether the memory has all changes of the pool that the look has seen. */
  function isRemembered(look: RegistryLook, pool: PoolKey): boolean {
    const { revision, changeRevision = revision } = look.changes;
    return !isPoolChanged(look, pool) || options.getRegistryRevision() >= changeRevision;
  }

  /** The watch reports changes one by one, mostly, that a look has seen together. */
  function buildCatchUp({ askedMs }: Inquiry): OwnConclusion {
    const waitedMs = getNow() - askedMs;
    if (waitedMs >= CATCH_UP_MAX_MS) return NONE;
    return { kind: 'wait', isLate: waitedMs >= LOOK_LATE_MS };
  }

  function resolveLook(inquiry: Inquiry, version: VersionKey): OwnConclusion {
    inquiry.ticket ??= looks.request();
    const state = looks.find(inquiry.ticket);
    if (state.kind !== 'seen') return state;
    const { revision } = state.look.changes;
    return isRemembered(state.look, inquiry.pool)
      ? { kind: 'only', version, revision }
      : buildCatchUp(inquiry);
  }

  return {
    record(isGap) {
      if (isGap) recordGap();
      else recordNow(options.isViewContinuous());
    },
    recordClaim,
    findRemembered: (pool) => findRemembered(pool),
    resolve(inquiry) {
      const version = findRemembered(inquiry.pool, inquiry.askedMs);
      return version === undefined ? NONE : resolveLook(inquiry, version);
    },
    isFailing: () => looks.isFailing(),
    advance: () => looks.advance(),
  };
}
