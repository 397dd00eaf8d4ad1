/**
 * Keeps each stream at the software version that began it: records which version wrote the first
 * event, tells other instances, and asks them about streams that callers bring from elsewhere.
 * Performs no I/O.
 */
import { isStream } from '../calls/attempt-policy.js';
import type { RoutedCall } from '../calls/call-messages.js';
import { hashStartId } from '../placement/remote-loads.js';
import type { EndpointKey } from '../placement/remote-loads.js';
import type { RegisteredEndpoint } from '../types/traffic.js';
import { hashName } from '../utils/hash.js';
import { createBindingLedger } from './binding-ledger.js';
import type { BindingMessage, BindingQuery, BindingReply } from './binding-messages.js';
import { createOwnerChooser } from './binding-owners.js';
import type { OwnerCandidate } from './binding-owners.js';
import type { QueryRecord, Resolution } from './binding-queries.js';
import { createQueryReplies } from './query-replies.js';
import { createStreamInquiries } from './stream-inquiries.js';
import { UNSURE_VERSION, buildBinding, getStreamKey, isResumed } from './stream-binding.js';
import type {
  BindingGroup,
  PoolKey,
  StreamBinding,
  StreamKey,
  VersionKey,
} from './stream-binding.js';
import type { HeldClaim, StoredRead } from './stored-streams.js';
import type { StreamLife } from './stream-life.js';
import type { EndpointChanges } from './stream-row.js';
import { buildToldMessages } from './told-messages.js';
import { createVersionConclusions } from './version-conclusions.js';

const OWNERS_TOLD = 3;
/**
 * Time for which a start that has ended is remembered while the view of the registry is confirmed:
 * longer than the registry takes to notice an end.
 */
export const ENDED_KEPT_MS = 10_000;

/** Where an attempt of a call may go. */
export type StreamChoice =
  /** The call begins its stream, or is none. */
  { readonly kind: 'any' } | Resolution;

/** How the version of a resumed stream was found, as logged. */
export interface ResolvedStream {
  readonly call: RoutedCall;
  readonly resolution: Exclude<Resolution, { kind: 'wait' }>;
  /** 'own', 'asked', or the name of the instance that told the binding. */
  readonly source: string;
  /** Time since the binding was recorded; undefined if none is known. */
  readonly ageMs: number | undefined;
  readonly query: QueryRecord | undefined;
  /** Revision of the registry up to which all changes are known. */
  readonly registryRevision: number;
  /** Revision of the look at the registry by which this instance concluded; undefined if it did not. */
  readonly lookRevision: number | undefined;
}

export interface StreamObserver {
  /** Called once for each call that resumes a stream. */
  onResolved(stream: ResolvedStream): void;
  onTold(keys: number): void;
  /** The rows of streams were read. */
  onStoredRead(read: StoredRead): void;
  /** A stored claim holds for this many pools. */
  onClaim(pools: number): void;
}

export interface StreamVersionsOptions {
  readonly self: string;
  readonly getNow: () => number;
  /** Live instances, including this one. */
  readonly listAlive: () => readonly OwnerCandidate[];
  /** All registered endpoints. */
  readonly listRegistered: () => readonly RegisteredEndpoint[];
  readonly find: (id: string) => RegisteredEndpoint | undefined;
  /** Whether the view of the registry was lately confirmed as the newest. */
  readonly isViewConfirmed: () => boolean;
  /** Whether all changes of the registry since its first list are known, and all entries can be read. */
  readonly isViewContinuous: () => boolean;
  /** Revision of the registry up to which all changes are known; 0 before its first list. */
  readonly getRegistryRevision: () => number;
  /** Revision of the last change of the registry that is known. */
  readonly getChangeRevision: () => number;
  /** Reads the changes of the registry after a revision; hands on undefined if that fails. */
  readonly startLook: (
    revision: number,
    onEnded: (changes: EndpointChanges | undefined) => void,
  ) => void;
  /** Longest time from a stream's first event to the last try of its caller. */
  readonly life: Omit<StreamLife, 'recordRoutes' | 'recordStored'>;
  /** Time before a take-up in which a version that was registered can have begun the stream. */
  readonly getCoveredMs: () => number;
  /** Resolves a stream that no instance knows by what was stored. */
  readonly resolveStored: (key: StreamKey, pool: PoolKey) => Resolution;
  readonly send: (message: BindingMessage) => void;
  readonly observer: StreamObserver;
}

export interface StreamVersions {
  /** Returns the version at which a call that its caller resumes may go on. */
  resolve(call: RoutedCall): StreamChoice;
  /** Version that an event of this endpoint binds its stream to. */
  computeVersion(endpoint: RegisteredEndpoint): VersionKey;
  /** Records that the first event of the call came from the endpoint. */
  recordStarted(call: RoutedCall, endpoint: RegisteredEndpoint): void;
  /** Whether a stream of that version may go on at the endpoint now. */
  isFit(endpoint: RegisteredEndpoint, version: VersionKey): boolean;
  /** Whether the start that was chosen is still the registered one. */
  isCurrent(endpoint: RegisteredEndpoint): boolean;
  /** A start of an endpoint has ended, perhaps before the registry says so. */
  recordEnded(start: EndpointKey): void;
  handleTold(groups: readonly BindingGroup[], from: string): void;
  handleQuery(query: BindingQuery, from: string): void;
  handleReply(reply: BindingReply, from: string): void;
  /** Own streams whose version nobody could conclude. */
  listUnconcluded(): BindingGroup[];
  /** Pools that can only have had one version. */
  listOnly(): StreamBinding[];
  recordClaim(claim: HeldClaim): void;
  /** The registry changed; `isGap`: a version may have come and gone unseen. */
  recordRegistry(isGap: boolean): void;
  /** Sends what is due. */
  advance(): void;
  /** Looks at the registry if a look is due. */
  advanceLooks(): void;
  /** Number of bindings that are kept. */
  count(): number;
}

export function createStreamVersions(options: StreamVersionsOptions): StreamVersions {
  const { self, getNow, life, observer } = options;
  const ledger = createBindingLedger();
  const owners = createOwnerChooser();
  const endedMs = new Map<EndpointKey, number>();
  /** Calls whose resolution was reported. */
  const reported = new WeakSet<RoutedCall>();
  const conclusions = createVersionConclusions({
    ...options,
    countInstances: () => options.listAlive().length,
    onLookEnded: () => replies.advance(),
  });
  const replies = createQueryReplies({
    getNow,
    ledger,
    conclusions,
    getCoveredMs: options.getCoveredMs,
    getToldLifeMs: () => life.getTold(),
    getChangeRevision: options.getChangeRevision,
    send: (reply, to) => options.send({ kind: 'reply', to, reply }),
  });

  const inquiries = createStreamInquiries({ ...options, owners, conclusions });

  /** The caller of a stream tries for as long as it names, wherever it is taken up. */
  function recordLimit({ callerTimeoutMs }: RoutedCall): void {
    if (callerTimeoutMs !== undefined) life.recordLimit(callerTimeoutMs);
  }

  /** Enough to decide who must be told, not to go on with a stream. */
  function findOnly(pool: PoolKey): VersionKey | undefined {
    const isInReach = options.isViewConfirmed() && !conclusions.isFailing();
    return isInReach ? conclusions.findRemembered(pool) : undefined;
  }

  function isCurrent({ id, startId, softwareVersion }: RegisteredEndpoint): boolean {
    const registered = options.find(id);
    if (endedMs.has(hashStartId(startId))) return false;
    if (registered === undefined) return true;
    return registered.startId === startId && registered.softwareVersion === softwareVersion;
  }

  function computeVersion(endpoint: RegisteredEndpoint): VersionKey {
    return isCurrent(endpoint) ? buildBinding(endpoint).version : UNSURE_VERSION;
  }

  function recordResolved(
    call: RoutedCall,
    resolution: Resolution,
    { source, ageMs, lookRevision }: Pick<ResolvedStream, 'source' | 'ageMs' | 'lookRevision'>,
  ): Resolution {
    if (resolution.kind === 'wait' || reported.has(call)) return resolution;
    reported.add(call);
    const key = getStreamKey(call);
    const query = inquiries.getRecord(key);
    const registryRevision = options.getRegistryRevision();
    const sight = { query, registryRevision, lookRevision };
    observer.onResolved({ call, resolution, source, ageMs, ...sight });
    return resolution;
  }

  function buildResolution(version: VersionKey | undefined): Resolution {
    return version === undefined || version === UNSURE_VERSION
      ? { kind: 'unknown' }
      : { kind: 'bound', version };
  }

  function resolveResumed(call: RoutedCall): Resolution {
    const key = getStreamKey(call);
    const pool = hashName(call.pool);
    const known = ledger.find(key);
    if (known === undefined) {
      const { resolution, ...sight } = inquiries.resolve({ call, key, pool });
      return recordResolved(call, resolution, { ageMs: undefined, ...sight });
    }
    const version = known.pool === pool ? known.version : undefined;
    const ageMs = getNow() - known.recordedMs;
    const { source } = known;
    const sight = { source, ageMs, lookRevision: undefined };
    return recordResolved(call, buildResolution(version), sight);
  }

  /** Whether instances must be told of a stream: nobody could conclude its version without. */
  function createToldCheck(): (binding: StreamBinding) => boolean {
    const onlyByPool = new Map<PoolKey, boolean>();
    return ({ pool, version }) => {
      if (version === UNSURE_VERSION) return true;
      const isOnly = onlyByPool.get(pool) ?? findOnly(pool) !== undefined;
      onlyByPool.set(pool, isOnly);
      return !isOnly;
    };
  }

  function sendTold(isTold: (binding: StreamBinding) => boolean): void {
    const untold = ledger.takeUntold(isTold);
    if (untold.length === 0) return;
    const alive = options.listAlive();
    const listOthers = (key: StreamKey): string[] =>
      owners.choose(key, alive, OWNERS_TOLD).filter((name) => name !== self);
    for (const message of buildToldMessages(untold, listOthers, life.getOwn()))
      options.send(message);
    observer.onTold(untold.length);
  }

  /** A registry out of reach cannot notice that an endpoint came back with other software. */
  function removeEnded(nowMs: number): void {
    const isConfirmed = options.isViewConfirmed();
    for (const [start, ms] of endedMs) {
      if (!isConfirmed) endedMs.set(start, nowMs);
      else if (nowMs - ms > ENDED_KEPT_MS) endedMs.delete(start);
    }
  }

  return {
    resolve(call) {
      if (!isStream(call.route.kind) || !isResumed(call)) return { kind: 'any' };
      recordLimit(call);
      return resolveResumed(call);
    },
    computeVersion,
    recordStarted(call, endpoint) {
      if (!isStream(call.route.kind)) return;
      recordLimit(call);
      const { pool } = buildBinding(endpoint);
      const key = getStreamKey(call);
      const version = computeVersion(endpoint);
      ledger.record(key, { pool, version }, getNow());
      // Guards against others that conclude from a registry that has not noticed the start's end.
      if (version === UNSURE_VERSION) sendTold((binding) => binding.version === UNSURE_VERSION);
    },
    isFit: (endpoint, version) => buildBinding(endpoint).version === version && isCurrent(endpoint),
    isCurrent,
    recordEnded(start) {
      if (!endedMs.has(start)) endedMs.set(start, getNow());
    },
    handleTold(groups, from) {
      for (const { lifeMs = 0 } of groups) life.recordTold(lifeMs);
      ledger.merge(groups, from, getNow());
    },
    handleQuery(query, from) {
      life.recordTold(query.lifeMs ?? 0);
      replies.handle(query, from);
    },
    handleReply: (reply, from) => inquiries.handleReply(reply, from),
    listUnconcluded: () => ledger.listOwn(createToldCheck()),
    listOnly() {
      const pools = new Set(options.listRegistered().map(({ pool }) => hashName(pool)));
      return [...pools].flatMap((pool) => {
        const version = findOnly(pool);
        return version === undefined ? [] : [{ pool, version }];
      });
    },
    recordClaim: (claim) => conclusions.recordClaim(claim),
    recordRegistry: (isGap) => conclusions.record(isGap),
    advance() {
      const nowMs = getNow();
      conclusions.record(false);
      sendTold(createToldCheck());
      inquiries.removeExpired();
      ledger.removeBefore(nowMs - life.get());
      removeEnded(nowMs);
    },
    advanceLooks() {
      conclusions.advance();
      replies.advance();
    },
    count: () => ledger.count(),
  };
}
