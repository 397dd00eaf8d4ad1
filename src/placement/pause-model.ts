/**
 * Predicts the pause between stream events from the number of calls running at an engine.
 *
 * Guards against engines that start streams in time but finish them too late, because each running
 * call lengthens every decoding step.
 */
import { createDecayingSums } from '../utils/decaying-sums.js';
import { createLinearFit } from '../utils/linear-fit.js';

/** Half-life of a recorded pause: about ten events of a stream at the usual pace. */
const HALF_LIFE_MS = 500;
/** Recent pauses required for a prediction, after decay, so that one slow link does not decide. */
const RECENT_PAUSES_MIN = 5;
/** Factor by which each new pause reduces the weight of earlier ones. */
const SAMPLE_DECAY = 0.9995;
/** Pauses required before the fit is used. */
const SAMPLES_MIN = 50;

export interface PauseModel {
  /** Adds a pause between two events of a stream, at an engine with `running` calls. */
  add(pauseMs: number, running: number, nowMs: number): void;
  /** Mean pause at an engine with `running` calls; undefined with too few recent pauses. */
  predictPauseMs(running: number, nowMs: number): number | undefined;
  /** Increase in the pause per running call; 0 while unknown. */
  getMsPerCall(): number;
}

export function createPauseModel(): PauseModel {
  const fit = createLinearFit({ decay: SAMPLE_DECAY, samplesMin: SAMPLES_MIN });
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
      // A step takes time even without calls, so pauses grow less than in proportion.
      const slope = Math.min(meanMs / meanRunning, getMsPerCall());
      return meanMs + slope * (running - meanRunning);
    },
  };
}
