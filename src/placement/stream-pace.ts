/**
 * Learns how the pauses between events of a pool's streams grow with the calls under way at an engine,
 * free of I/O. Nothing about an engine's steps is configured or assumed.
 *
 * Guards against engines that begin every stream in time and end few: each call under way lengthens
 * each step, so that a stream of many steps outlasts its caller. It shows as pauses that rise together
 * at all streams of an engine, long before one exceeds what is declared.
 */
import { createDecayingSums } from '../utils/decaying-sums.js';
import { createLinearFit } from '../utils/linear-fit.js';

/** Time after which a pause counts half, in milliseconds: some ten events of a stream at a usual pace. */
const HALF_LIFE_MS = 500;
/** Recent pauses, in decayed number, below which nothing is predicted: one slow link must not decide. */
const RECENT_PAUSES_MIN = 5;
/** Each pause makes those before count this much: some 2,000 are in force, quiet and busy seconds among them. */
const SAMPLE_DECAY = 0.9995;
/** Pauses before the growth is used. */
const SAMPLES_MIN = 50;

/** The pace of one pool's streams. */
export interface PauseModel {
  /** Two events came `pauseMs` apart from an engine with `running` calls under way. */
  add(pauseMs: number, running: number, nowMs: number): void;
  /** The mean pause at an engine with `running` calls, in milliseconds; undefined while too little was seen. */
  predictPauseMs(running: number, nowMs: number): number | undefined;
  /** What each call under way adds to a pause, in milliseconds; 0 while unknown. */
  getMsPerCall(): number;
}

/** Builds a pace of which nothing is known. */
export function createPauseModel(): PauseModel {
  const fit = createLinearFit({ retained: SAMPLE_DECAY, samplesTrusted: SAMPLES_MIN });
  const recent = createDecayingSums(['pauses', 'pauseMs', 'running'], HALF_LIFE_MS);
  const getMsPerCall = (): number => Math.max(0, fit.get()?.slope ?? 0);
  return {
    getMsPerCall,
    add(pauseMs, running, nowMs) {
      fit.add(running, pauseMs);
      recent.add({ pauses: 1, pauseMs, running }, nowMs);
    },
    predictPauseMs(running, nowMs) {
      const sums = recent.read(nowMs);
      if (sums.pauses < RECENT_PAUSES_MIN) return undefined;
      const meanMs = sums.pauseMs / sums.pauses;
      const meanRunning = Math.max(1, sums.running / sums.pauses);
      // A step without any call takes time too: pauses grow less than in proportion.
      const slope = Math.min(meanMs / meanRunning, getMsPerCall());
      return meanMs + slope * (running - meanRunning);
    },
  };
}
