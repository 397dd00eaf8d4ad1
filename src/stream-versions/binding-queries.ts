/** Queries for bindings that are under way or were answered lately. Performs no I/O. */
import { BINDING_ANSWER } from './binding-messages.js';
import type { BindingReply } from './binding-messages.js';
import { UNSURE_VERSION } from './stream-binding.js';
import type { PoolKey, StreamKey, VersionKey } from './stream-binding.js';

/** Several times a round trip between data centres of a region. */
const REPLY_TIMEOUT_MS = 150;
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
export interface OwnConclusion {
  /** The only version that the pool can have had; undefined if there may have been several. */
  readonly version: VersionKey | undefined;
  readonly lifeMs: number;
}

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
  has(key: StreamKey): boolean;
  /** Starts a query; false if too many are under way. */
  start(key: StreamKey, pool: PoolKey, asked: readonly string[], nowMs: number): boolean;
  handle(reply: BindingReply, from: string, nowMs: number): void;
  /** Replies of peers that count with a shorter life than `own` conclude nothing. */
  resolve(key: StreamKey, own: OwnConclusion, nowMs: number): Resolution;
  getRecord(key: StreamKey, nowMs: number): QueryRecord | undefined;
  removeExpired(nowMs: number): void;
}

interface Query {
  readonly pool: PoolKey;
  readonly asked: readonly string[];
  readonly startedMs: number;
  readonly replies: Map<string, ReceivedReply>;
}

/** The version that all of some conclusions agree on. */
function findAgreed(versions: readonly VersionKey[]): VersionKey | undefined {
  const [first, ...others] = new Set(versions);
  return others.length === 0 ? first : undefined;
}

export function createBindingQueries(): BindingQueries {
  const queries = new Map<StreamKey, Query>();

  function resolveReplies({ pool, replies }: Query, own: OwnConclusion): VersionKey | undefined {
    const ofPool = [...replies.values()].filter((reply) => reply.pool === pool);
    const bound = ofPool.filter(({ answer }) => answer === BINDING_ANSWER.Bound);
    if (bound.length > 0) return findAgreed(bound.map(({ version }) => version));
    const only = ofPool.filter(
      ({ answer, coveredMs }) => answer === BINDING_ANSWER.Only && coveredMs >= own.lifeMs,
    );
    const concluded = own.version === undefined ? [] : [own.version];
    return findAgreed([...only.map(({ version }) => version), ...concluded]);
  }

  function isDecided({ asked, startedMs, replies }: Query, nowMs: number): boolean {
    const isBound = [...replies.values()].some(({ answer }) => answer === BINDING_ANSWER.Bound);
    return isBound || replies.size >= asked.length || nowMs - startedMs >= REPLY_TIMEOUT_MS;
  }

  return {
    has: (key) => queries.has(key),
    start(key, pool, asked, nowMs) {
      if (queries.size >= QUERIES_MAX) return false;
      queries.set(key, { pool, asked, startedMs: nowMs, replies: new Map() });
      return true;
    },
    handle(reply, from) {
      const query = queries.get(reply.key);
      if (query?.asked.includes(from) === true) query.replies.set(from, { ...reply, from });
    },
    resolve(key, own, nowMs) {
      const query = queries.get(key);
      if (query === undefined) return { kind: 'unknown' };
      if (!isDecided(query, nowMs)) return { kind: 'wait' };
      const version = resolveReplies(query, own);
      return version === undefined || version === UNSURE_VERSION
        ? { kind: 'unknown' }
        : { kind: 'bound', version };
    },
    getRecord(key, nowMs) {
      const query = queries.get(key);
      if (query === undefined) return undefined;
      const { asked, replies, startedMs } = query;
      return { key, asked, replies: [...replies.values()], tookMs: nowMs - startedMs };
    },
    removeExpired(nowMs) {
      for (const [key, { startedMs }] of queries) {
        if (nowMs - startedMs < RESULT_KEPT_MS) return;
        queries.delete(key);
      }
    },
  };
}
