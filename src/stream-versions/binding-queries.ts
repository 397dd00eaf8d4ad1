/** Queries for bindings that are under way or were answered lately. Performs no I/O. */
import { BINDING_ANSWER } from './binding-messages.js';
import type { BindingReply } from './binding-messages.js';
import { UNSURE_VERSION } from './stream-binding.js';
import type { PoolKey, StreamKey, VersionKey } from './stream-binding.js';

/** Several times a round trip between data centres of a region. */
const REPLY_TIMEOUT_MS = 150;
/** Longest wait for a look at the registry, by this instance or by those that were asked. */
const CONCLUSION_TIMEOUT_MS = 700;
/** Time for the replies to one wave of queries, before more instances are asked. */
const WAVE_MS = 75;
/** Calls that wait for a place look at the result again. */
const RESULT_KEPT_MS = 2000;
/** Bounds the memory that callers with unknown ids can take. */
const QUERIES_MAX = 4096;

/** What an instance knows of a stream that a caller resumes. */
export type Resolution =
  | { readonly kind: 'bound'; readonly version: VersionKey }
  | { readonly kind: 'wait' }
  /** Nobody can tell which version began it. */
  | { readonly kind: 'unknown' };

/** What this instance concludes by itself. */
export type OwnConclusion =
  /** The pool may have had several versions, or that is not known. */
  | { readonly kind: 'none' }
  /** A look at the registry is under way; `isLate`: it should have been answered by now. */
  | { readonly kind: 'wait'; readonly isLate: boolean }
  | { readonly kind: 'failed' }
  /** The only version that the pool can have had, by a look at a revision of the registry. */
  | { readonly kind: 'only'; readonly version: VersionKey; readonly revision: number };

export interface ReceivedReply extends BindingReply {
  readonly from: string;
}

/** A query, as logged. */
export interface QueryRecord {
  readonly key: StreamKey;
  readonly asked: readonly string[];
  readonly replies: readonly ReceivedReply[];
  readonly tookMs: number;
}

export interface BindingQueries {
  find(key: StreamKey, nowMs: number): BindingQueryState | undefined;
  /** Starts a query; false if too many are under way. */
  start(key: StreamKey, pool: PoolKey, asked: readonly AskedInstance[], nowMs: number): boolean;
  /** Asks more instances, or the same ones again; `isLast`: there are no others. */
  extend(key: StreamKey, more: readonly AskedInstance[], isLast: boolean, nowMs: number): void;
  handle(reply: BindingReply, from: string, nowMs: number): void;
  /** Conclusions of peers that cover less than `neededMs` count for nothing. */
  resolve(key: StreamKey, own: OwnConclusion, neededMs: number, nowMs: number): Resolution;
  getRecord(key: StreamKey, nowMs: number): QueryRecord | undefined;
  /** Forgets a query, so that it can be started anew. */
  remove(key: StreamKey): void;
  removeExpired(nowMs: number): void;
}

/** An instance that is asked; `isConcluding`: it is to look at the registry. */
export interface AskedInstance {
  readonly name: string;
  readonly isConcluding: boolean;
}

export interface BindingQueryState {
  readonly startedMs: number;
  readonly asked: readonly AskedInstance[];
  readonly isExtended: boolean;
  /** Whether more instances are to be asked now. */
  readonly isWaveDue: boolean;
  /** Newest change of the registry that one of the replies knows of. */
  readonly newestRevision: number;
}

interface Query {
  readonly pool: PoolKey;
  readonly startedMs: number;
  asked: readonly AskedInstance[];
  /** When the last instances were asked. */
  askedMs: number;
  isExtended: boolean;
  /** Whether there are others to ask. */
  hasMore: boolean;
  readonly replies: Map<string, ReceivedReply>;
  /** A stream keeps its version, whatever happens later. */
  boundVersion?: VersionKey;
}

/** The version that all of some conclusions agree on. */
function findAgreed(versions: readonly VersionKey[]): VersionKey | undefined {
  const [first, ...others] = new Set(versions);
  return others.length === 0 ? first : undefined;
}

export function createBindingQueries(): BindingQueries {
  const queries = new Map<StreamKey, Query>();

  function listOfPool({ pool, replies }: Query): ReceivedReply[] {
    return [...replies.values()].filter((reply) => reply.pool === pool);
  }

  /** Only what was looked up after the query covers all that happened before it. */
  function isConclusion(reply: ReceivedReply, neededMs: number): boolean {
    const { answer, checked, coveredMs } = reply;
    return answer === BINDING_ANSWER.Only && checked === true && coveredMs >= neededMs;
  }

  function computeNewest({ replies }: Query): number {
    return Math.max(
      0,
      ...[...replies.values()].map(({ registryRevision = 0 }) => registryRevision),
    );
  }

  function isAnsweredInTime({ asked, askedMs, replies }: Query, nowMs: number): boolean {
    return replies.size >= asked.length || nowMs - askedMs >= REPLY_TIMEOUT_MS;
  }

  /** Whether a conclusion may still come, from this instance or from one that looks for it. */
  function isConclusionDue(query: Query, own: OwnConclusion, nowMs: number): boolean {
    const { asked, hasMore, replies, startedMs } = query;
    if (nowMs - startedMs >= CONCLUSION_TIMEOUT_MS) return false;
    if (hasMore) return true;
    const isOwnDue = own.kind === 'wait' || (own.kind === 'failed' && !query.isExtended);
    return isOwnDue || asked.some(({ name, isConcluding }) => isConcluding && !replies.has(name));
  }

  /** Whether those that were asked last have replied, or have had the time for it. */
  function checkWaveDue(
    { asked, askedMs, hasMore, replies, startedMs }: Query,
    nowMs: number,
  ): boolean {
    if (!hasMore || nowMs - startedMs >= CONCLUSION_TIMEOUT_MS) return false;
    return nowMs - askedMs >= WAVE_MS || asked.every(({ name }) => replies.has(name));
  }

  function resolveConclusions(
    query: Query,
    own: OwnConclusion,
    neededMs: number,
  ): VersionKey | undefined {
    const concluded = listOfPool(query)
      .filter((reply) => isConclusion(reply, neededMs))
      .map(({ version }) => version);
    const isOwnNewest = own.kind === 'only' && own.revision >= computeNewest(query);
    return findAgreed(isOwnNewest ? [...concluded, own.version] : concluded);
  }

  function buildResolution(query: Query, version: VersionKey | undefined): Resolution {
    if (version === undefined || version === UNSURE_VERSION) return { kind: 'unknown' };
    query.boundVersion = version;
    return { kind: 'bound', version };
  }

  function resolveQuery(
    query: Query,
    own: OwnConclusion,
    neededMs: number,
    nowMs: number,
  ): Resolution {
    const { boundVersion } = query;
    if (boundVersion !== undefined) return { kind: 'bound', version: boundVersion };
    const bound = listOfPool(query).filter(({ answer }) => answer === BINDING_ANSWER.Bound);
    if (bound.length > 0)
      return buildResolution(query, findAgreed(bound.map(({ version }) => version)));
    if (!isAnsweredInTime(query, nowMs)) return { kind: 'wait' };
    const version = resolveConclusions(query, own, neededMs);
    if (version === undefined && isConclusionDue(query, own, nowMs)) return { kind: 'wait' };
    return buildResolution(query, version);
  }

  return {
    find(key, nowMs) {
      const query = queries.get(key);
      if (query === undefined) return undefined;
      const isWaveDue = checkWaveDue(query, nowMs);
      return { ...query, isWaveDue, newestRevision: computeNewest(query) };
    },
    start(key, pool, asked, nowMs) {
      if (queries.size >= QUERIES_MAX) return false;
      const times = { startedMs: nowMs, askedMs: nowMs };
      queries.set(key, {
        pool,
        asked,
        ...times,
        isExtended: false,
        hasMore: false,
        replies: new Map(),
      });
      return true;
    },
    extend(key, more, isLast, nowMs) {
      const query = queries.get(key);
      if (query === undefined) return;
      // Those that are asked again are to look at the registry this time.
      for (const { name } of more) query.replies.delete(name);
      const names = new Set(more.map(({ name }) => name));
      query.asked = [...query.asked.filter(({ name }) => !names.has(name)), ...more];
      query.askedMs = nowMs;
      query.hasMore = !isLast;
      query.isExtended = true;
    },
    handle(reply, from) {
      const query = queries.get(reply.key);
      if (query?.asked.some(({ name }) => name === from) === true)
        query.replies.set(from, { ...reply, from });
    },
    resolve(key, own, neededMs, nowMs) {
      const query = queries.get(key);
      return query === undefined ? { kind: 'unknown' } : resolveQuery(query, own, neededMs, nowMs);
    },
    getRecord(key, nowMs) {
      const query = queries.get(key);
      if (query === undefined) return undefined;
      const { asked, replies, startedMs } = query;
      const names = [...new Set(asked.map(({ name }) => name))];
      return { key, asked: names, replies: [...replies.values()], tookMs: nowMs - startedMs };
    },
    remove: (key) => queries.delete(key),
    removeExpired(nowMs) {
      for (const [key, { startedMs }] of queries) {
        if (nowMs - startedMs < RESULT_KEPT_MS) return;
        queries.delete(key);
      }
    },
  };
}
