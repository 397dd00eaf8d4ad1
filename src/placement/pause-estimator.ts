/**
 * Learns how long the pauses between a stream's events are at a pool's engines, apart for engines that
 * read prompts all the while and engines that read nothing, free of I/O. Engines read prompts in chunks
 * between everybody's tokens, and an event may hold several tokens, so that reading stretches each
 * event by several chunks.
 */
import { createMovingAverage } from '../utils/moving-average.js';
import { createRecentQuantile } from '../utils/recent-quantile.js';

/** Nine in ten pauses under reading are shorter: a stream meets several, and one is enough to be late. */
const READING_QUANTILE = 0.9;
const READING_SAMPLES = 200;
/** Pauses under reading before they are believed. */
const READING_TRUSTED = 10;
const PLAIN_ALPHA = 0.01;
/** A pause counts as one under reading if this part of it at least is taken by what was unread at its start. */
const READING_SHARE = 0.8;

/** Pauses of one pool's streams. */
export interface PauseEstimator {
  /** A pause; `unreadMs`: how long reading what was unread at its start takes, in milliseconds. */
  add(pauseMs: number, unreadMs: number): void;
  /** The pause that nine in ten are shorter than while an engine reads, in milliseconds; undefined while unknown. */
  getReadingMs(): number | undefined;
  /** The mean pause at engines that read nothing, in milliseconds. */
  getPlainMs(): number;
}

/** Builds an estimator that has seen nothing. */
export function createPauseEstimator(): PauseEstimator {
  const reading = createRecentQuantile(READING_QUANTILE, READING_SAMPLES);
  const plain = createMovingAverage(PLAIN_ALPHA);
  let readingSamples = 0;
  return {
    add(pauseMs, unreadMs) {
      if (unreadMs === 0) {
        plain.add(pauseMs);
        return;
      }
      if (unreadMs < pauseMs * READING_SHARE) return;
      readingSamples += 1;
      reading.add(pauseMs);
    },
    getReadingMs: () => (readingSamples < READING_TRUSTED ? undefined : reading.get(0)),
    getPlainMs: () => plain.get(0),
  };
}
