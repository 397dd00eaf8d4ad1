/**
 * Follows a feed: lists all rows, then watches for changes, and lists again when changes may have
 * been missed. Failed calls are retried on a new connection with exponential backoff.
 */
import type { TimerService } from '../runtime/timer-service.js';
import type { Random } from '../utils/random.js';
import type { FeedResponse, FeedReader, FeedRow } from './feed.js';

/** Bounds of the backoff after a failed call. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 800;

export interface FeedListener {
  /**
   * All rows; a row that is missing does not exist. A list may be seconds behind the source: only
   * the response to the watch after it confirms that nothing newer exists.
   */
  onListed(rows: readonly FeedRow[], response: ResponseMetadata): void;
  /**
   * Changed rows; empty if the call only confirmed that nothing changed. `isNewest` is false while
   * the feed catches up: the next response may hold later changes that were made long ago.
   */
  onChanged(rows: readonly FeedRow[], response: ResponseMetadata, isNewest: boolean): void;
  onLost(reason: string): void;
}

/** Revision and times of a response. */
export interface ResponseMetadata {
  readonly revision: number;
  readonly sourceNowMs: number;
  readonly sentMs: number;
}

export interface FeedWatcherOptions {
  readonly reader: FeedReader;
  readonly listener: FeedListener;
  readonly timers: TimerService;
  readonly random: Random;
  /** Long-poll timeout of the next watch. */
  readonly getWaitMs: () => number;
  /**
   * Multiplier of the delay after a failed call.
   * @default 1
   */
  readonly getPauseFactor?: () => number;
  /**
   * Whether to start paused, until `resume`.
   * @default false
   */
  readonly isPaused?: boolean;
}

export interface FeedWatcher {
  /** Abandons the current call and repeats it on a new connection. */
  restart(): void;
  /** Closes the connection until `resume`. */
  pause(): void;
  /** Continues after a pause from a revision up to which all changes are known from elsewhere. */
  resume(revision: number): void;
  stop(): void;
}

export function startFeedWatcher(options: FeedWatcherOptions): FeedWatcher {
  const { reader, listener, timers, random } = options;
  let revision: number | undefined;
  /** Highest revision seen; a response with a lower one is a stale read. */
  let highestRevision = 0;
  let failures = 0;
  /** Consecutive watches refused because their history was compacted. */
  let compactions = 0;
  let isStopped = false;
  let isPaused = options.isPaused ?? false;
  /** Whether a watch has been answered without a change since the last list, failure or restart. */
  let isCaughtUp = false;
  /** Incremented on restart and pause; responses of an earlier generation are dropped. */
  let generation = 0;

  /** Backoff with jitter after consecutive unsuccessful calls. */
  function computeRetryDelayMs(attempts: number): number {
    const delayMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** Math.max(0, attempts - 1));
    return delayMs * (options.getPauseFactor?.() ?? 1) * (0.5 + random.next() / 2);
  }

  function handleRows(response: Extract<FeedResponse, { kind: 'rows' }>): void {
    failures = 0;
    // Guards against stale lists, which would bring back removed rows.
    if (response.revision < highestRevision) return;
    highestRevision = response.revision;
    const isList = revision === undefined;
    isCaughtUp = !isList && (isCaughtUp || response.rows.length === 0);
    if (!isList) compactions = 0;
    revision = response.revision;
    if (isList) listener.onListed(response.rows, response);
    else listener.onChanged(response.rows, response, isCaughtUp);
  }

  /** Returns the delay before the next call, in milliseconds. */
  function handleResponse(response: FeedResponse): number {
    switch (response.kind) {
      case 'rows':
        handleRows(response);
        return revision === undefined ? RETRY_MIN_MS : 0;
      case 'compacted':
        revision = undefined;
        isCaughtUp = false;
        compactions += 1;
        // Guards against lists older than the compacted history: without a pause, list and refused
        // watch would alternate at full rate until the lists catch up.
        return compactions === 1 ? 0 : computeRetryDelayMs(compactions - 1);
      default:
        failures += 1;
        isCaughtUp = false;
        reader.reset();
        listener.onLost(response.reason);
        return computeRetryDelayMs(failures);
    }
  }

  async function fetchNext(): Promise<FeedResponse> {
    if (revision === undefined) return reader.list();
    // Watches return at once until one has no change, to confirm the rows early.
    return reader.watch(revision, isCaughtUp ? options.getWaitMs() : 0);
  }

  async function runCall(callGeneration: number): Promise<void> {
    const response = await fetchNext();
    if (isStopped || callGeneration !== generation) return;
    const delayMs = handleResponse(response);
    if (delayMs > 0) timers.subscribeOnce(delayMs, () => startCall(callGeneration));
    else setImmediate(() => startCall(callGeneration));
  }

  function startCall(callGeneration: number): void {
    if (isStopped || isPaused || callGeneration !== generation) return;
    runCall(callGeneration).catch((error: unknown) => {
      listener.onLost(`the feed could not be read: ${String(error)}`);
      timers.subscribeOnce(RETRY_MAX_MS, () => startCall(callGeneration));
    });
  }

  function startNewGeneration(): void {
    generation += 1;
    isCaughtUp = false;
    reader.reset();
    startCall(generation);
  }

  startCall(generation);
  return {
    restart() {
      failures = Math.max(1, failures);
      startNewGeneration();
    },
    pause() {
      isPaused = true;
      generation += 1;
      reader.reset();
    },
    resume(knownRevision) {
      if (!isPaused) return;
      isPaused = false;
      highestRevision = Math.max(highestRevision, knownRevision);
      // No list is needed if all changes up to a revision are known.
      if (knownRevision > 0) revision = Math.max(revision ?? 0, knownRevision);
      startNewGeneration();
    },
    stop() {
      isStopped = true;
      reader.reset();
    },
  };
}
