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
import { BINDING_ANSWER } from './binding-messages.js';
import type { BindingMessage, BindingQuery, BindingReply } from './binding-messages.js';
import { createOwnerChooser } from './binding-owners.js';
import type { OwnerCandidate } from './binding-owners.js';
import { createBindingQueries } from './binding-queries.js';
import type { QueryRecord, Resolution } from './binding-queries.js';
import { createPoolVersions } from './pool-versions.js';
import { UNSURE_VERSION, buildBinding, getStreamKey, isResumed } from './stream-binding.js';
import type {
  BindingGroup,
  PoolKey,
  StreamBinding,
  StreamKey,
  VersionKey,
} from './stream-binding.js';
import type { HeldClaim, StoredRead } from './stored-streams.js';
import { buildToldMessages } from './told-messages.js';

const OWNERS_TOLD = 3;
/** More than are told, since two instances may see slightly different fleets. */
const OWNERS_ASKED = 4;
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
  /** Whether no version can have come and gone unseen since the view was last confirmed. */
  readonly isViewContinuous: () => boolean;
  /** Revision of the registry up to which all changes are known; 0 before its first list. */
  readonly getRegistryRevision: () => number;
  /** Longest time from a stream's first event to the last try of its caller. */
  readonly getStreamLifeMs: () => number;
  /** Resolves a stream that no instance knows by what was stored. */
  readonly resolveStored: (key: StreamKey, pool: PoolKey) => Resolution;
  /** Receives the time limit of a caller whose stream began. */
  readonly onLimit: (limitMs: number) => void;
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
  /** Sends what is due. */
  advance(): void;
  /** Number of bindings that are kept. */
  count(): number;
}

export function createStreamVersions(options: StreamVersionsOptions): StreamVersions {
  const { self, getNow, observer } = options;
  const ledger = createBindingLedger();
  const queries = createBindingQueries();
  const owners = createOwnerChooser();
  const poolVersions = createPoolVersions();
  const endedMs = new Map<EndpointKey, number>();
  /** Calls whose resolution was reported. */
  const reported = new WeakSet<RoutedCall>();

  function findOnly(pool: PoolKey): VersionKey | undefined {
    if (!options.isViewConfirmed()) return undefined;
    return poolVersions.findOnly(pool, options.getStreamLifeMs(), getNow());
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
    source: string,
    ageMs?: number,
  ): Resolution {
    if (resolution.kind === 'wait' || reported.has(call)) return resolution;
    reported.add(call);
    const key = getStreamKey(call);
    const query = queries.getRecord(key, getNow());
    const registryRevision = options.getRegistryRevision();
    observer.onResolved({ call, resolution, source, ageMs, query, registryRevision });
    return resolution;
  }

  function buildResolution(version: VersionKey | undefined): Resolution {
    return version === undefined || version === UNSURE_VERSION
      ? { kind: 'unknown' }
      : { kind: 'bound', version };
  }

  function listAsked(key: string): string[] {
    return owners.choose(key, options.listAlive(), OWNERS_ASKED).filter((name) => name !== self);
  }

  function startQuery(key: string, pool: PoolKey): void {
    const asked = listAsked(key);
    if (!queries.start(key, pool, asked, getNow())) return;
    for (const to of asked) options.send({ kind: 'query', to, query: { key, pool } });
  }

  function resolveResumed(call: RoutedCall): Resolution {
    const key = getStreamKey(call);
    const pool = hashName(call.pool);
    const known = ledger.find(key);
    if (known !== undefined) {
      const version = known.pool === pool ? known.version : undefined;
      const ageMs = getNow() - known.recordedMs;
      return recordResolved(call, buildResolution(version), known.source, ageMs);
    }
    if (!queries.has(key)) startQuery(key, pool);
    const own = { version: findOnly(pool), lifeMs: options.getStreamLifeMs() };
    const asked = queries.resolve(key, own, getNow());
    if (asked.kind !== 'unknown') return recordResolved(call, asked, 'asked');
    return recordResolved(call, options.resolveStored(key, pool), 'stored');
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

  function sendTold(): void {
    const untold = ledger.takeUntold(createToldCheck());
    if (untold.length === 0) return;
    const alive = options.listAlive();
    const listOthers = (key: StreamKey): string[] =>
      owners.choose(key, alive, OWNERS_TOLD).filter((name) => name !== self);
    for (const message of buildToldMessages(untold, listOthers)) options.send(message);
    observer.onTold(untold.length);
  }

  function buildReply({ key, pool }: BindingQuery): BindingReply {
    const known = ledger.find(key);
    if (known !== undefined) {
      const ageMs = getNow() - known.recordedMs;
      const { version } = known;
      return { key, answer: BINDING_ANSWER.Bound, pool: known.pool, version, ageMs, coveredMs: 0 };
    }
    const only = findOnly(pool);
    if (only === undefined) {
      const version = UNSURE_VERSION;
      return { key, answer: BINDING_ANSWER.Unknown, pool, version, ageMs: 0, coveredMs: 0 };
    }
    const coveredMs = options.getStreamLifeMs();
    return { key, answer: BINDING_ANSWER.Only, pool, version: only, ageMs: 0, coveredMs };
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
      return resolveResumed(call);
    },
    computeVersion,
    recordStarted(call, endpoint) {
      if (!isStream(call.route.kind)) return;
      if (call.callerTimeoutMs !== undefined) options.onLimit(call.callerTimeoutMs);
      const { pool } = buildBinding(endpoint);
      const key = getStreamKey(call);
      ledger.record(key, { pool, version: computeVersion(endpoint) }, getNow());
    },
    isFit: (endpoint, version) => buildBinding(endpoint).version === version && isCurrent(endpoint),
    isCurrent,
    recordEnded(start) {
      if (!endedMs.has(start)) endedMs.set(start, getNow());
    },
    handleTold: (groups, from) => ledger.merge(groups, from, getNow()),
    handleQuery(query, from) {
      options.send({ kind: 'reply', to: from, reply: buildReply(query) });
    },
    handleReply: (reply, from) => queries.handle(reply, from, getNow()),
    listUnconcluded: () => ledger.listOwn(createToldCheck()),
    listOnly() {
      const pools = new Set(options.listRegistered().map(({ pool }) => hashName(pool)));
      return [...pools].flatMap((pool) => {
        const version = findOnly(pool);
        return version === undefined ? [] : [{ pool, version }];
      });
    },
    recordClaim({ pools, sinceMs, checkedMs }) {
      for (const binding of pools) poolVersions.recordEarlier(binding, sinceMs, checkedMs);
    },
    advance() {
      const nowMs = getNow();
      poolVersions.record(options.listRegistered(), options.isViewContinuous(), nowMs);
      sendTold();
      queries.removeExpired(nowMs);
      ledger.removeBefore(nowMs - options.getStreamLifeMs());
      removeEnded(nowMs);
    },
    count: () => ledger.count(),
  };
}
