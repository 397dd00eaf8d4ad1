/**
 * Finds out which version began a stream that callers bring from elsewhere: asks other instances and looks
 * at the registry. Performs no I/O.
 */
import type { BindingMessage, BindingReply } from './binding-messages.js';
import type { OwnerCandidate, OwnerChooser } from './binding-owners.js';
import { createBindingQueries } from './binding-queries.js';
import type { AskedInstance, OwnConclusion, QueryRecord, Resolution } from './binding-queries.js';
import type { PoolKey, StreamKey } from './stream-binding.js';
import type { StreamLife } from './stream-life.js';
import type { Inquiry, VersionConclusions } from './version-conclusions.js';

/** More than are told, since two instances may see slightly different fleets. */
const OWNERS_ASKED = 4;
/** Instances asked at once where the look at the registry fails. */
const WAVE_SIZE = 64;

/** What came out, and where from. */
export interface InquiryResult {
  readonly resolution: Resolution;
  readonly source: 'asked' | 'stored';
  /** Revision of the look at the registry by which this instance concluded; undefined if it did not. */
  readonly lookRevision: number | undefined;
}

/** A call that brings a stream. */
export interface TakeUp {
  readonly call: object;
  readonly key: StreamKey;
  readonly pool: PoolKey;
}

/** An inquiry for a take-up. */
interface TakenInquiry extends Inquiry {
  readonly call: object;
  /** Whether it ended without a version. */
  isVain: boolean;
}

export interface StreamInquiriesOptions {
  readonly self: string;
  readonly getNow: () => number;
  /** Live instances, including this one. */
  readonly listAlive: () => readonly OwnerCandidate[];
  readonly owners: OwnerChooser;
  readonly conclusions: Pick<VersionConclusions, 'resolve' | 'isFailing'>;
  /** Time before a take-up that a conclusion must cover. */
  readonly getCoveredMs: () => number;
  /** How long callers try. */
  readonly life: Pick<StreamLife, 'getOwn' | 'recordReplied'>;
  /** Resolves a stream that no instance knows by what was stored. */
  readonly resolveStored: (key: StreamKey, pool: PoolKey) => Resolution;
  readonly send: (message: BindingMessage) => void;
}

export interface StreamInquiries {
  /** Starts to ask if that has not been done yet for this take-up, or for one that has not ended in vain. */
  resolve(takeUp: TakeUp): InquiryResult;
  handleReply(reply: BindingReply, from: string): void;
  getRecord(key: StreamKey): QueryRecord | undefined;
  removeExpired(): void;
}

export function createStreamInquiries(options: StreamInquiriesOptions): StreamInquiries {
  const { self, getNow, conclusions, owners } = options;
  const queries = createBindingQueries();
  const inquiries = new Map<StreamKey, TakenInquiry>();

  function listOwners(key: StreamKey, count: number): string[] {
    return owners.choose(key, options.listAlive(), count).filter((name) => name !== self);
  }

  function sendQueries(key: StreamKey, pool: PoolKey, asked: readonly AskedInstance[]): void {
    const lifeMs = options.life.getOwn();
    for (const { name: to, isConcluding: conclude } of asked)
      options.send({ kind: 'query', to, query: { key, pool, conclude, lifeMs } });
  }

  function startQuery({ call, key, pool }: TakeUp): void {
    const inquiry = { call, pool, askedMs: getNow(), isVain: false };
    const isConcluding = conclusions.resolve(inquiry).kind === 'none';
    const asked = listOwners(key, OWNERS_ASKED).map((name) => ({ name, isConcluding }));
    if (!queries.start(key, pool, asked, getNow())) return;
    inquiries.set(key, inquiry);
    if (conclusions.isFailing()) startSecondRound(key, pool);
    else sendQueries(key, pool, asked);
  }

  /** The instance that began the stream knows it, also where nobody can look at the registry. */
  function startSecondRound(key: StreamKey, pool: PoolKey): void {
    const asked = listOwners(key, OWNERS_ASKED).map((name) => ({ name, isConcluding: true }));
    // Reading the rows takes as long as a look, so it is not left until after it.
    options.resolveStored(key, pool);
    sendWave(key, pool, asked);
  }

  /** Asks some of those that have not been asked yet, besides `again`. */
  function sendWave(key: StreamKey, pool: PoolKey, again: readonly AskedInstance[] = []): void {
    const asked = new Set(queries.find(key, getNow())?.asked.map(({ name }) => name));
    const others = listOwners(key, Infinity).filter((name) => !asked.has(name));
    const next = others.slice(0, WAVE_SIZE - again.length);
    const wave = [...again, ...next.map((name) => ({ name, isConcluding: false }))];
    queries.extend(key, wave, next.length === others.length, getNow());
    sendQueries(key, pool, wave);
  }

  function resolveOwn(key: StreamKey): OwnConclusion {
    const query = queries.find(key, getNow());
    const inquiry = inquiries.get(key);
    if (query === undefined || inquiry === undefined) return { kind: 'none' };
    const own = conclusions.resolve(inquiry);
    // A look that another instance knows more than was answered by a store that lags.
    if (own.kind === 'only' && own.revision < query.newestRevision) {
      inquiry.ticket = undefined;
      return conclusions.resolve(inquiry);
    }
    const isMissing = own.kind === 'failed' || (own.kind === 'wait' && own.isLate);
    if (isMissing && !query.isExtended) startSecondRound(key, inquiry.pool);
    else if (own.kind !== 'only' && query.isWaveDue) sendWave(key, inquiry.pool);
    return own;
  }

  /** What could not be known for one try may be known for the next. */
  function removeVain({ call, key }: TakeUp): void {
    const inquiry = inquiries.get(key);
    if (inquiry?.isVain !== true || inquiry.call === call) return;
    queries.remove(key);
    inquiries.delete(key);
  }

  return {
    resolve(takeUp) {
      const { key, pool } = takeUp;
      removeVain(takeUp);
      if (queries.find(key, getNow()) === undefined) startQuery(takeUp);
      const own = resolveOwn(key);
      const resolution = queries.resolve(key, own, options.getCoveredMs(), getNow());
      const lookRevision = own.kind === 'only' ? own.revision : undefined;
      if (resolution.kind !== 'unknown') return { resolution, source: 'asked', lookRevision };
      const stored = options.resolveStored(key, pool);
      const inquiry = inquiries.get(key);
      if (inquiry !== undefined) inquiry.isVain = stored.kind === 'unknown';
      return { resolution: stored, source: 'stored', lookRevision };
    },
    handleReply(reply, from) {
      options.life.recordReplied(reply.lifeMs ?? 0);
      queries.handle(reply, from, getNow());
    },
    getRecord: (key) => queries.getRecord(key, getNow()),
    removeExpired() {
      queries.removeExpired(getNow());
      for (const key of inquiries.keys())
        if (queries.find(key, getNow()) === undefined) inquiries.delete(key);
    },
  };
}
