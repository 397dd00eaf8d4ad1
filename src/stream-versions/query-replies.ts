/** Answers other instances that ask for the version of a stream. Performs no I/O. */
import type { BindingLedger } from './binding-ledger.js';
import { BINDING_ANSWER } from './binding-messages.js';
import type { BindingQuery, BindingReply } from './binding-messages.js';
import { UNSURE_VERSION } from './stream-binding.js';
import type { Inquiry, VersionConclusions } from './version-conclusions.js';

/** Bounds the memory that queries can take. */
const PENDING_MAX = 1024;

export interface QueryRepliesOptions {
  readonly getNow: () => number;
  readonly ledger: Pick<BindingLedger, 'find'>;
  readonly conclusions: Pick<VersionConclusions, 'resolve'>;
  /** Time before the query that a conclusion covers. */
  readonly getCoveredMs: () => number;
  /** Longest time for which callers try, as far as this instance was told. */
  readonly getToldLifeMs: () => number;
  /** Revision of the last change of the registry that is known. */
  readonly getChangeRevision: () => number;
  readonly send: (reply: BindingReply, to: string) => void;
}

export interface QueryReplies {
  handle(query: BindingQuery, from: string): void;
  /** Sends the replies whose look at the registry has ended. */
  advance(): void;
}

interface PendingQuery {
  readonly query: BindingQuery;
  readonly from: string;
  readonly inquiry: Inquiry;
}

export function createQueryReplies(options: QueryRepliesOptions): QueryReplies {
  const { getNow, ledger } = options;
  let pending: PendingQuery[] = [];

  function buildUnknown({ key, pool }: BindingQuery): BindingReply {
    const registryRevision = options.getChangeRevision();
    const version = UNSURE_VERSION;
    const answer = BINDING_ANSWER.Unknown;
    const lifeMs = options.getToldLifeMs();
    return { key, answer, pool, version, ageMs: 0, coveredMs: 0, registryRevision, lifeMs };
  }

  function buildBound({ key }: BindingQuery): BindingReply | undefined {
    const known = ledger.find(key);
    if (known === undefined) return undefined;
    const { pool, version, recordedMs } = known;
    const registryRevision = options.getChangeRevision();
    const ageMs = getNow() - recordedMs;
    const answer = BINDING_ANSWER.Bound;
    const lifeMs = options.getToldLifeMs();
    return { key, answer, pool, version, ageMs, coveredMs: 0, registryRevision, lifeMs };
  }

  /** Undefined while a look is under way. */
  function buildConcluded({ query, inquiry }: PendingQuery): BindingReply | undefined {
    const concluded = options.conclusions.resolve(inquiry);
    if (concluded.kind === 'wait') return undefined;
    if (concluded.kind !== 'only') return buildUnknown(query);
    const { key, pool } = query;
    const { version, revision: registryRevision } = concluded;
    const coveredMs = options.getCoveredMs();
    const answer = BINDING_ANSWER.Only;
    const sight = { coveredMs, checked: true, registryRevision, lifeMs: options.getToldLifeMs() };
    return { key, answer, pool, version, ageMs: 0, ...sight };
  }

  function runPending(entry: PendingQuery): boolean {
    const reply = buildBound(entry.query) ?? buildConcluded(entry);
    if (reply !== undefined) options.send(reply, entry.from);
    return reply !== undefined;
  }

  return {
    handle(query, from) {
      const entry = { query, from, inquiry: { pool: query.pool, askedMs: getNow() } };
      const bound = buildBound(query);
      if (bound !== undefined) options.send(bound, from);
      // An asking instance that can look by itself needs no conclusion of others.
      else if (query.conclude !== true || pending.length >= PENDING_MAX)
        options.send(buildUnknown(query), from);
      else if (!runPending(entry)) pending.push(entry);
    },
    advance() {
      pending = pending.filter((entry) => !runPending(entry));
    },
  };
}
