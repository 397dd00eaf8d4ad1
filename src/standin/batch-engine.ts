/**
 * Continuous batching without I/O: priority scheduling, KV memory and a prefix cache. Each step
 * advances every running sequence by one token or one chunk of its prefill.
 */
import { buildToken } from './completion.js';

export interface SequenceRequest {
  readonly id: string;
  readonly prompt: string;
  /** Lower values run first, as in the chat-completions `priority` field. */
  readonly priority: number;
  readonly promptTokens: number;
  /** Length of the whole completion, including tokens generated elsewhere. */
  readonly completionTokens: number;
  /** Number of tokens that another engine generated before this request. */
  readonly offset: number;
}

/** Output of one step for one sequence. */
export interface StepEvent {
  readonly id: string;
  /** Zero-based position in the whole completion. */
  readonly index: number;
  readonly text: string;
  readonly isLast: boolean;
}

export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: string;
}

export interface BatchEngineOptions {
  readonly slots: number;
  /** Prefill tokens that one sequence processes in one step. */
  readonly prefillTokensPerStep: number;
  readonly kvTokens: number;
}

/** Current load; `GET /load` reports it with a delay. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly kvUsed: number;
}

interface RunningSequence {
  readonly request: SequenceRequest;
  remainingPrefillTokens: number;
  generatedTokens: number;
}

export interface BatchEngine {
  add(request: SequenceRequest): void;
  /** Cancels a running or waiting sequence; returns false if there is none with this id. */
  remove(id: string): boolean;
  advance(): StepEvent[];
  getLoad(): EngineLoad;
  listCacheEvents(after: number): CacheEvent[];
  listPrefixes(): string[];
  addPrefixes(prefixes: readonly string[]): void;
  /** Cancels all sequences and returns their ids. */
  removeAll(): string[];
}

const MAX_CACHE_EVENTS = 1000;
/** Prompts are cached by this many leading characters. */
export const CACHED_PREFIX_CHARS = 256;
/** Share of the prefill that remains on a prefix cache hit. */
const CACHED_PREFILL_RATIO = 0.1;

export function createBatchEngine(options: BatchEngineOptions): BatchEngine {
  const running = new Map<string, RunningSequence>();
  let waiting: SequenceRequest[] = [];
  const prefixes = new Map<string, number>();
  let events: CacheEvent[] = [];
  let eventSequence = 0;

  function recordCacheEvent(kind: CacheEvent['kind'], prefix: string): void {
    eventSequence += 1;
    events.push({ sequence: eventSequence, kind, prefix });
    events = events.slice(-MAX_CACHE_EVENTS);
  }

  function countKvTokens(): number {
    let used = 0;
    for (const { request, generatedTokens } of running.values()) {
      used += request.promptTokens + request.offset + generatedTokens;
    }
    return used;
  }

  function storePrefix(prefix: string, tokens: number): void {
    prefixes.delete(prefix);
    prefixes.set(prefix, tokens);
    recordCacheEvent('stored', prefix);
    let cached = [...prefixes.values()].reduce((sum, size) => sum + size, 0);
    for (const [oldest, size] of prefixes) {
      if (cached + countKvTokens() <= options.kvTokens) break;
      prefixes.delete(oldest);
      recordCacheEvent('evicted', oldest);
      cached -= size;
    }
  }

  function computePrefillTokens(request: SequenceRequest): number {
    const tokens = request.promptTokens + request.offset;
    const isCached = prefixes.has(request.prompt.slice(0, CACHED_PREFIX_CHARS));
    return Math.ceil(tokens * (isCached ? CACHED_PREFILL_RATIO : 1));
  }

  function startWaiting(): void {
    waiting.sort((a, b) => a.priority - b.priority);
    while (waiting.length > 0 && running.size < options.slots) {
      const [next] = waiting;
      const requiredTokens = (next?.promptTokens ?? 0) + (next?.completionTokens ?? 0);
      if (next === undefined || countKvTokens() + requiredTokens > options.kvTokens) return;
      waiting.shift();
      running.set(next.id, {
        request: next,
        remainingPrefillTokens: computePrefillTokens(next),
        generatedTokens: 0,
      });
    }
  }

  function advanceSequence(sequence: RunningSequence): StepEvent | undefined {
    const { request } = sequence;
    if (sequence.remainingPrefillTokens > options.prefillTokensPerStep) {
      sequence.remainingPrefillTokens -= options.prefillTokensPerStep;
      return undefined;
    }
    if (sequence.remainingPrefillTokens > 0) {
      sequence.remainingPrefillTokens = 0;
      storePrefix(request.prompt.slice(0, CACHED_PREFIX_CHARS), request.promptTokens);
    }
    const index = request.offset + sequence.generatedTokens;
    if (index >= request.completionTokens) {
      // The partial completion to continue was already complete.
      running.delete(request.id);
      return { id: request.id, index, text: '', isLast: true };
    }
    sequence.generatedTokens += 1;
    const isLast = index + 1 >= request.completionTokens;
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
      const stepEvents: StepEvent[] = [];
      for (const sequence of [...running.values()]) {
        const event = advanceSequence(sequence);
        if (event !== undefined) stepEvents.push(event);
      }
      return stepEvents;
    },
    getLoad: () => ({ running: running.size, waiting: waiting.length, kvUsed: countKvTokens() }),
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
