/**
 * The engine's batch, free of I/O: sequences that share steps, a memory for KV and prefixes, and
 * priorities. One step gives every running sequence one token or a piece of its prefill.
 */
import { buildToken } from './answer.js';

/** A sequence as the engine was given it. */
export interface SequenceRequest {
  readonly id: string;
  readonly prompt: string;
  /** Lower runs first, as the published `priority` field has it. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Tokens the whole answer has. */
  readonly answerTokens: number;
  /** Tokens that were produced elsewhere before. */
  readonly offset: number;
}

/** What one step brought. */
export interface StepEvent {
  readonly id: string;
  /** Position in the whole answer. */
  readonly index: number;
  readonly text: string;
  readonly isLast: boolean;
}

/** A prefix entering or leaving the cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: string;
}

/** Settings of a batch. */
export interface BatchEngineOptions {
  readonly slots: number;
  /** Prompt tokens one sequence reads in one step. */
  readonly prefillPerStep: number;
  readonly kvTokens: number;
}

/** Load as it truly is; reports of it lag. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly kvUsed: number;
}

interface Running {
  readonly request: SequenceRequest;
  prefillLeft: number;
  produced: number;
}

/** The batch of one engine. */
export interface BatchEngine {
  add(request: SequenceRequest): void;
  /** Frees the sequence's place at once; true if it was known. */
  remove(id: string): boolean;
  advance(): StepEvent[];
  getLoad(): EngineLoad;
  listCacheEvents(after: number): CacheEvent[];
  /** Prefixes in the cache, for export; `addPrefixes` imports them. */
  listPrefixes(): string[];
  addPrefixes(prefixes: readonly string[]): void;
  removeAll(): string[];
}

const CACHE_EVENTS_KEPT = 1000;
/** Characters of a prompt that make its prefix. */
export const PREFIX_LENGTH = 256;
const CACHED_PREFILL_SHARE = 0.1;

/** Builds an empty batch. */
export function createBatchEngine(options: BatchEngineOptions): BatchEngine {
  const running = new Map<string, Running>();
  let waiting: SequenceRequest[] = [];
  const prefixes = new Map<string, number>();
  let events: CacheEvent[] = [];
  let eventSequence = 0;

  function recordEvent(kind: CacheEvent['kind'], prefix: string): void {
    eventSequence += 1;
    events.push({ sequence: eventSequence, kind, prefix });
    events = events.slice(-CACHE_EVENTS_KEPT);
  }

  function countKv(): number {
    let used = 0;
    for (const { request, produced } of running.values()) {
      used += request.promptTokens + request.offset + produced;
    }
    return used;
  }

  function storePrefix(prefix: string, tokens: number): void {
    prefixes.delete(prefix);
    prefixes.set(prefix, tokens);
    recordEvent('stored', prefix);
    let cached = [...prefixes.values()].reduce((sum, size) => sum + size, 0);
    for (const [oldest, size] of prefixes) {
      if (cached + countKv() <= options.kvTokens) break;
      prefixes.delete(oldest);
      recordEvent('evicted', oldest);
      cached -= size;
    }
  }

  function computePrefill(request: SequenceRequest): number {
    const tokens = request.promptTokens + request.offset;
    const isCached = prefixes.has(request.prompt.slice(0, PREFIX_LENGTH));
    return Math.ceil(tokens * (isCached ? CACHED_PREFILL_SHARE : 1));
  }

  function startWaiting(): void {
    waiting.sort((a, b) => a.priority - b.priority);
    while (waiting.length > 0 && running.size < options.slots) {
      const [next] = waiting;
      const needed = (next?.promptTokens ?? 0) + (next?.answerTokens ?? 0);
      if (next === undefined || countKv() + needed > options.kvTokens) return;
      waiting.shift();
      running.set(next.id, { request: next, prefillLeft: computePrefill(next), produced: 0 });
    }
  }

  function advanceSequence(sequence: Running): StepEvent | undefined {
    const { request } = sequence;
    if (sequence.prefillLeft > options.prefillPerStep) {
      sequence.prefillLeft -= options.prefillPerStep;
      return undefined;
    }
    if (sequence.prefillLeft > 0) {
      sequence.prefillLeft = 0;
      storePrefix(request.prompt.slice(0, PREFIX_LENGTH), request.promptTokens);
    }
    const index = request.offset + sequence.produced;
    if (index >= request.answerTokens) {
      // Asked to go on after the last token: the engine sees the end at once.
      running.delete(request.id);
      return { id: request.id, index, text: '', isLast: true };
    }
    sequence.produced += 1;
    const isLast = index + 1 >= request.answerTokens;
    if (isLast) running.delete(request.id);
    return { id: request.id, index, text: buildToken(request.prompt, index), isLast };
  }

  return {
    add(request) {
      waiting.push(request);
    },
    remove(id) {
      const before = waiting.length;
      waiting = waiting.filter((request) => request.id !== id);
      return running.delete(id) || waiting.length < before;
    },
    advance() {
      startWaiting();
      const produced: StepEvent[] = [];
      for (const sequence of [...running.values()]) {
        const event = advanceSequence(sequence);
        if (event !== undefined) produced.push(event);
      }
      return produced;
    },
    getLoad: () => ({ running: running.size, waiting: waiting.length, kvUsed: countKv() }),
    listCacheEvents: (after) => events.filter((event) => event.sequence > after),
    listPrefixes: () => [...prefixes.keys()],
    addPrefixes(imported) {
      for (const prefix of imported) storePrefix(prefix, prefix.length);
    },
    removeAll() {
      const ids = [...running.keys(), ...waiting.map((request) => request.id)];
      running.clear();
      waiting = [];
      return ids;
    },
  };
}
