/**
 * Follows one feed: lists once, then watches for changes, and starts over whenever it cannot be sure
 * to have missed nothing. Failed calls are repeated on a new connection after a growing pause.
 */
import type { TimerService } from '../runtime/timer-service.js';
import type { Random } from '../utils/random.js';
import type { FeedAnswer, FeedReader, FeedRow } from './feed.js';

/** The first pause after a failed call, in milliseconds, and the longest: the source answers in 4 ms, and an outage lasts seconds. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 800;

/** What a watcher reports. */
export interface FeedListener {
  /**
   * Every row there is; what is missing does not exist. A list may be seconds behind: only the
   * answer to the watch that follows it says that nothing newer exists.
   */
  onListed(rows: readonly FeedRow[], answer: AnswerTimes): void;
  /** Rows that changed; none where a call only confirmed that nothing did. */
  onChanged(rows: readonly FeedRow[], answer: AnswerTimes): void;
  onLost(reason: string): void;
}

/** When an answer was asked for and given. */
export interface AnswerTimes {
  readonly revision: number;
  readonly sourceNowMs: number;
  readonly sentMs: number;
}

/** Settings of a watcher. */
export interface FeedWatcherOptions {
  readonly reader: FeedReader;
  readonly listener: FeedListener;
  readonly timers: TimerService;
  readonly random: Random;
  /** How long the next call waits for a change, in milliseconds. */
  readonly getWaitMs: () => number;
  /**
   * How many times longer than usual to pause after a failed call.
   * @default 1
   */
  readonly getPauseFactor?: () => number;
  /**
   * Whether it waits for `resume` before the first call.
   * @default false
   */
  readonly isPaused?: boolean;
}

/** A feed that is followed. */
export interface FeedWatcher {
  /** Doubts the connection: the call under way is given up and made anew. */
  restart(): void;
  /** Closes the connection until `resume`. */
  pause(): void;
  /** Goes on after a pause, from the revision up to which everything is known by other ways. */
  resume(revision: number): void;
  stop(): void;
}

/** Starts following a feed. */
export function startFeedWatcher(options: FeedWatcherOptions): FeedWatcher {
  const { reader, listener, timers, random } = options;
  let revision: number | undefined;
  /** The highest revision ever seen: an answer below it is a read that lags behind. */
  let highestRevision = 0;
  let failures = 0;
  /** Watches in a row whose history was gone. */
  let compactions = 0;
  let isStopped = false;
  let isPaused = options.isPaused ?? false;
  /** Whether a watch was answered since the last list or doubt. */
  let isConfirmed = false;
  let generation = 0;

  /** After so many calls in a row that brought nothing. */
  function computePauseMs(attempts: number): number {
    const pauseMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** Math.max(0, attempts - 1));
    return pauseMs * (options.getPauseFactor?.() ?? 1) * (0.5 + random.next() / 2);
  }

  function handleRows(answer: Extract<FeedAnswer, { kind: 'rows' }>): void {
    failures = 0;
    // Guards against lists that are seconds behind: it shows as a row that comes back after removal.
    if (answer.revision < highestRevision) return;
    highestRevision = answer.revision;
    const isList = revision === undefined;
    isConfirmed = !isList;
    if (isConfirmed) compactions = 0;
    revision = answer.revision;
    if (isList) listener.onListed(answer.rows, answer);
    else listener.onChanged(answer.rows, answer);
  }

  function handleResponse(answer: FeedAnswer): number {
    switch (answer.kind) {
      case 'rows':
        handleRows(answer);
        return revision === undefined ? RETRY_MIN_MS : 0;
      case 'compacted':
        revision = undefined;
        isConfirmed = false;
        compactions += 1;
        // Guards against a list that lags behind the forgotten history: list and refused watch would
        // follow each other without a pause, up to 250 calls a second at 4 ms an answer (computed), until
        // the list has caught up, which takes seconds.
        return compactions === 1 ? 0 : computePauseMs(compactions - 1);
      default:
        failures += 1;
        isConfirmed = false;
        reader.reset();
        listener.onLost(answer.reason);
        return computePauseMs(failures);
    }
  }

  async function fetchNext(): Promise<FeedAnswer> {
    if (revision === undefined) return reader.list();
    // After a list or a doubt the first call does not wait: what it says must be known at once.
    return reader.watch(revision, isConfirmed ? options.getWaitMs() : 0);
  }

  async function runCall(current: number): Promise<void> {
    const answer = await fetchNext();
    if (isStopped || current !== generation) return;
    const pauseMs = handleResponse(answer);
    if (pauseMs > 0) timers.subscribeOnce(pauseMs, () => startCall(current));
    else setImmediate(() => startCall(current));
  }

  function startCall(current: number): void {
    if (isStopped || isPaused || current !== generation) return;
    runCall(current).catch((error: unknown) => {
      listener.onLost(`the feed could not be read: ${String(error)}`);
      timers.subscribeOnce(RETRY_MAX_MS, () => startCall(current));
    });
  }

  function startNewGeneration(): void {
    generation += 1;
    isConfirmed = false;
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
      // Whoever knows everything up to a revision need not list.
      if (knownRevision > 0) revision = Math.max(revision ?? 0, knownRevision);
      startNewGeneration();
    },
    stop() {
      isStopped = true;
      reader.reset();
    },
  };
}
